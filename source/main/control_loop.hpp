#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace fireflysail
{

/// Calls a function at a fixed interval on a thread of its own.
class control_loop
{
public:
    control_loop(
        std::chrono::milliseconds interval, std::function<void()> tick);
    ~control_loop();

    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    void start();
    void stop();

private:
    void run();

    std::chrono::milliseconds interval;
    std::function<void()> tick;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopped = false;
    std::thread thread;
};

} // namespace fireflysail
