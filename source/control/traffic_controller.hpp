#pragma once

#include "blackboard/blackboard.hpp"
#include "common/clock.hpp"
#include "common/result.hpp"
#include "control/config_order.hpp"
#include "control/engine_control.hpp"
#include "control/leaving_servers.hpp"
#include "control/server_directory.hpp"
#include "store/watch_hub.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// Names and decoders of the store objects that hold the configuration and the
/// backend servers.
struct traffic_objects
{
    std::string config_kind;
    std::string config_name;
    std::string servers_kind;
    std::function<result<traffic_config>(std::string_view)> decode_config;
    std::function<result<server_entry>(const server_id&, std::string_view)>
        decode_server;
};

/// Publishes the configuration and the fleet from the store on the blackboard.
/// Thread-safe, for use by several watches.
class traffic_controller
{
public:
    /// `on_fleet_published` is called after each publication of a fleet, on the
    /// publishing thread and never concurrently.
    traffic_controller(
        blackboard& board,
        traffic_objects objects,
        const clock& time,
        std::function<void()> on_fleet_published);

    /// `source` tells what gives the configuration that is read, for the log.
    /// Called on the watch's thread. Set before the watch starts.
    void set_config_source(std::function<std::string_view()> source);

    /// Consumer for the watch of the configuration.
    store_consumer& config_consumer();

    /// Consumer for the watch of the backend servers.
    store_consumer& servers_consumer();

    /// Records that the store responded, with or without changes. Thread-safe.
    void record_store_contact();

    /// Sets the lost engines, which do not respond or refuse requests. They are
    /// published as unhealthy, whatever their store entries say.
    void set_lost_engines(std::vector<server_id> servers);

    /// The server said in an answer that this boot of it leaves: publishes it
    /// as leaving from now on, whatever its store entry says. Returns false if
    /// that was known.
    bool set_leaving(const server_id& server, std::uint64_t boot);

    std::size_t leaving_count() const;

    /// Removes servers whose entries have not reappeared in the store; called
    /// periodically.
    void expire_servers();

    /// Once operators had the time to write again what a restored store lost:
    /// puts the configuration that it holds into force, or publishes it as
    /// contested if it may be an older one. Called periodically.
    void apply_waiting_config();

    /// Applies the layers that engines report themselves while the store is
    /// unavailable, and publishes the fleet at most once.
    void apply_engine_reports(
        const std::vector<std::pair<server_id, engine_condition>>& reports);

    /// True once both the configuration and the servers have been read.
    bool is_initialized() const;

    /// True once the servers have been read.
    bool has_server_list() const;

    /// Whether the store, come back from an older copy, holds another
    /// configuration than the one in force.
    bool is_config_superseded() const;

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

    /// A configuration that a restored store holds, and that is not in force.
    struct waiting_config
    {
        stored_object object;
        config_verdict verdict = config_verdict::contested;
        std::shared_ptr<const traffic_config> decoded;
    };

    void apply_config(const stored_object& object, config_reading how)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(config_mutex);
    /// What waited is replaced by what was read after it.
    void forget_waiting_config() ABSL_EXCLUSIVE_LOCKS_REQUIRED(config_mutex);
    /// The servers come from a later era than those known.
    void on_restored(time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<server_entry> decode_entry(const stored_object& object) const;
    void publish_fleet() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// The directory with the marks that servers gave themselves in answers.
    std::vector<server_entry> current_entries()
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    blackboard& board;
    const traffic_objects objects;
    const clock& time;
    const std::function<void()> on_fleet_published;
    std::function<std::string_view()> config_source = []
    {
        return std::string_view{"store"};
    };
    config_reader config;
    servers_reader servers;
    std::atomic<bool> config_superseded = false;

    /// Taken before the other one.
    absl::Mutex config_mutex;
    config_order configs ABSL_GUARDED_BY(config_mutex);
    std::optional<waiting_config> waiting ABSL_GUARDED_BY(config_mutex);

    mutable absl::Mutex mutex;
    server_directory directory ABSL_GUARDED_BY(mutex);
    revision servers_version ABSL_GUARDED_BY(mutex);
    std::vector<server_id> lost_engines ABSL_GUARDED_BY(mutex);
    leaving_servers leaving ABSL_GUARDED_BY(mutex);
    bool has_servers ABSL_GUARDED_BY(mutex) = false;
};

} // namespace fireflysail
