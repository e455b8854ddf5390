#pragma once

#include "blackboard/blackboard.hpp"
#include "common/clock.hpp"
#include "control/duty_thread.hpp"
#include "control/instance_registry.hpp"
#include "control/layout_controller.hpp"
#include "control/traffic_controller.hpp"
#include "demand/fleet_demand.hpp"
#include "main/readiness.hpp"
#include "main/store_view.hpp"
#include "notices/notice_channel.hpp"
#include "relay/relay_server.hpp"
#include "settings/node_settings.hpp"
#include "store/watch_hub.hpp"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace fireflysail
{

/// What the process speaks to the platform with.
struct platform_adapter
{
    store& objects;
    /// The same store, where answers may lag behind and cost less.
    store& lagging_objects;
    /// Like `lagging_objects`, for the watches of configuration and servers:
    /// ending those must not end any other.
    store& lagging_watches;
    engine_control& engines;
    const message_codec& codec;
    traffic_objects kinds;
    /// Reads the node's settings again; empty when they have a mistake.
    std::function<std::optional<node_settings>()> reload;
};

/// One instance on the platform: the traffic thread with its event loop, a
/// thread for each watch of the store, and one for the duties.
class relay_process
{
public:
    /// `started_at` is the start of the process, from which its warm-up counts.
    relay_process(
        node_settings settings,
        platform_adapter adapter,
        time_point started_at);

    relay_process(const relay_process&) = delete;
    relay_process& operator=(const relay_process&) = delete;

    /// Serves until the process is told to stop.
    void run();

private:
    readiness assess() const;

    /// Assesses the readiness, and logs it if it has changed.
    readiness update_readiness();

    std::string metrics_text() const;
    void wait_for_signal();
    void on_stop();
    /// Takes the bounds that the node file states now; addresses stay as they
    /// were at the start.
    void on_reload();
    void drain();
    void keep_up();

    /// Starts the short watches beside those of configuration and servers.
    void start_later_watches(time_point now);

    void ask_suspects();

    void open_notices();

    /// Another process may hold the port for a while.
    void try_to_open_notices();

    /// Passes on what this instance found out of an engine. Any thread.
    void tell_others(const server_id& server, engine_observation news);

    void send_limit_message(
        const limit_message& message,
        const std::optional<instance_id>& receiver);

    /// Tells the limits of servers, and among whom they are divided.
    void update_rate_limits();

    /// Tells the other instances of requests that crash engines. Any thread.
    void tell_crash_news(const crash_news& news);

    /// Tells a few instances again what they may have missed.
    void repeat_crash_news();

    /// Sums the demand of the fleet where the configuration calls for it.
    /// Traffic thread.
    void share_demand();

    /// Takes in what the configuration says of ranks.
    void update_demand_scope();

    void send_demand(const std::vector<fleet_demand::outgoing>& messages);
    void on_demand(const instance_id& from, const demand_message& message);

    /// Passes the demand of the fleet on to those that decide by it.
    void apply_demand();
    void update_streams(const demand_view& view);
    void update_plain_servers(const demand_view& view);
    void update_admission(const demand_view& view);

    /// Logs the most urgent rank that is refused when it changes.
    void log_admission(const service_id& service);

    /// Writes the demand of the fleet for `fireflysail load`.
    void write_demand_metrics(std::string& text) const;

    /// Sends a message to the other instances. Traffic thread.
    void send_to_peers(const peer_message& message);

    /// A server says in an answer that this boot of it leaves. Any thread.
    void on_leaving(const server_id& server, std::uint64_t boot);

    /// A fleet was published.
    void on_fleet();

    /// Streams through an engine in doubt leave it at shorter silence.
    void doubt(const server_id& server, engine_observation news);

    /// Asks the engines themselves while the store cannot be read and a zone
    /// has no pipeline.
    void survey_if_blind();

    /// Of the watch that shows soonest whether the store answers.
    watch_hub_status store_status() const;

    store_view::stores stores_of_views() const;
    std::optional<duration> time_since_complete(const store_view& view) const;

    /// Ends the watches that are of no use any more. Runs on the traffic
    /// thread: calls to the store hold up that of the duties.
    void supervise_watches();
    void check_watches();

    /// Tells the other instances how far this one has read the store, if it
    /// reads it for them, and whether it leads. Traffic thread.
    void share_progress();

    /// The same from any thread.
    void post_progress();

    /// What this instance has to tell of its views.
    store_progress current_progress() const;

    /// Whether another instance said lately that it leads.
    bool hears_leader() const;

    /// This instance lost all backend servers, or reaches some again.
    void on_reach_change();

    /// Tells the other instances for as long as this one is cut off, and once
    /// when that ends. Traffic thread.
    void share_reach();

    void on_peer_reach(const reach_notice& told);

    void on_peer_message(const peer_message& message);

    /// Tells in the log when the store is lost and regained.
    void note_store();

    node_settings settings;
    platform_adapter adapter;
    const boot_clock time;
    const time_point started_at;
    std::mt19937_64 random;

    blackboard board;
    pipeline_router pipelines;
    traffic_controller traffic;
    store_view config_view;
    store_view servers_view;
    crash_registry crashes;
    watch_hub crashes_watch;
    instance_registry census;
    engine_prober inquiry;
    layout_controller layout;
    duty_thread duty;

    asio::io_context io{1};
    notice_channel notices;
    backend_pool pool;
    rate_limit_gate rate_limits;
    server_backoff backoff;
    server_balancer servers;
    stall_monitor stalls;
    request_metrics metrics;
    relay_context relay;
    relay_server server;
    asio::signal_set signals;
    asio::steady_timer drain_timer;
    asio::steady_timer upkeep_timer;
    asio::steady_timer watch_timer;
    asio::steady_timer demand_timer;
    fleet_demand demand;
    bool shares_demand = false;
    /// Those that the demand was set up for.
    std::shared_ptr<const traffic_config> demand_config;
    std::shared_ptr<const std::vector<peer_instance>> demand_peers;
    absl::flat_hash_map<workspace_id, demand_key> workspace_keys;
    absl::flat_hash_map<demand_key, std::uint32_t> workspace_ranks;
    absl::flat_hash_map<service_id, std::uint32_t> logged_cutoffs;
    time_point next_reload{};
    /// Pause after the next failed reload.
    duration reload_retry;
    time_point drain_ends{};
    bool accepts = true;
    std::optional<readiness> told_readiness;
    int announcements = 0;
    bool has_all_watches = false;
    time_point next_progress{};
    store_progress shared_progress;
    time_point next_reach_notice{};
    bool shared_cut_off = false;
    /// Watches that were ended since they were of no use any more.
    std::uint64_t watches_ended = 0;

    /// Used by the duties' thread alone.
    time_point last_survey{};
    std::atomic<bool> store_is_lost = false;
    /// No backend server can be reached. Written by the traffic thread.
    std::atomic<bool> is_cut_off = false;
    std::atomic<time_point> leader_heard_at{};
};

} // namespace fireflysail
