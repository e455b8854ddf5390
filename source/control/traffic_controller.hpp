#pragma once

#include "blackboard/blackboard.hpp"
#include "common/clock.hpp"
#include "common/result.hpp"
#include "control/engine_control.hpp"
#include "control/server_directory.hpp"
#include "store/watch_hub.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// How the objects of the operators and the backend servers are read.
struct traffic_objects
{
    std::string config_kind;
    std::string config_name;
    std::string servers_kind;
    std::function<result<traffic_config>(std::string_view)> decode_config;
    std::function<result<server_entry>(const server_id&, std::string_view)>
        decode_server;
};

/// Keeps the configuration and the fleet on the blackboard up to what the
/// store says. Safe to use from the threads of several watches.
class traffic_controller
{
public:
    /// `on_fleet` is called after each publication of a fleet, on the thread
    /// that published it and never on two at once.
    traffic_controller(
        blackboard& board,
        traffic_objects objects,
        const clock& time,
        std::function<void()> on_fleet_published);

    /// Consumer of the configuration's watch.
    store_consumer& config_consumer();

    /// Consumer of the backend servers' watch.
    store_consumer& servers_consumer();

    /// The store answered, with or without changes. Any thread.
    void record_store_contact();

    /// Engines that do not answer, whatever the store says of them.
    void set_lost_engines(std::vector<server_id> servers);

    /// Takes out servers whose entries have not come back; called now and
    /// then.
    void expire_servers();

    /// Takes what an engine itself says that it holds, while the store cannot
    /// be asked.
    void apply_engine_reports(
        const std::vector<std::pair<server_id, engine_condition>>& reports);

    /// True when both were read once.
    bool is_initialized() const;

private:
    class config_reader final : public store_consumer
    {
    public:
        explicit config_reader(traffic_controller& owner);
        std::vector<std::string> kinds() const override;
        void on_snapshot(const store_snapshot& snapshot) override;
        void on_events(const watch_batch& batch) override;

    private:
        traffic_controller& owner;
    };

    class servers_reader final : public store_consumer
    {
    public:
        explicit servers_reader(traffic_controller& owner);
        std::vector<std::string> kinds() const override;
        void on_snapshot(const store_snapshot& snapshot) override;
        void on_events(const watch_batch& batch) override;

    private:
        traffic_controller& owner;
    };

    void apply_config(const stored_object& object);
    std::optional<server_entry> decode_entry(const stored_object& object) const;
    void publish_fleet() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    blackboard& board;
    const traffic_objects objects;
    const clock& time;
    const std::function<void()> on_fleet_published;
    config_reader config;
    servers_reader servers;

    mutable absl::Mutex mutex;
    server_directory directory ABSL_GUARDED_BY(mutex);
    revision servers_version ABSL_GUARDED_BY(mutex);
    std::vector<server_id> lost_engines ABSL_GUARDED_BY(mutex);
    bool has_servers ABSL_GUARDED_BY(mutex) = false;
};

} // namespace fireflysail
