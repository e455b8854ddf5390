#pragma once

#include "backend/engine_api.hpp"
#include "common/snapshot_cell.hpp"
#include "control/fleet_controller.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace fireflysail
{

/// Asks the engines for their load, and looks whether plain services accept
/// connections, on threads of its own.
class backend_prober
{
public:
    backend_prober(
        const snapshot_cell<fleet_snapshot>& fleet,
        fleet_controller& controller,
        engine_api& engines,
        std::chrono::milliseconds interval);
    ~backend_prober();

    backend_prober(const backend_prober&) = delete;
    backend_prober& operator=(const backend_prober&) = delete;

    void start();
    void stop();

private:
    void run(std::size_t part);
    void probe(std::size_t part);
    void probe_engine(const engine& server);
    void probe_service(const service_server& server);
    bool wait();

    const snapshot_cell<fleet_snapshot>& fleet;
    fleet_controller& controller;
    engine_api& engines;
    std::chrono::milliseconds interval;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopped = false;
    std::vector<std::thread> threads;
};

} // namespace fireflysail
