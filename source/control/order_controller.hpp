#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/snapshot_cell.hpp"
#include "control/lease_client.hpp"
#include "control/load_rate_limit.hpp"
#include "control/order_cache.hpp"
#include "control/order_plan.hpp"
#include "control/order_sink.hpp"
#include "control/placement.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fireflysail
{

struct order_settings
{
    duration store_timeout = std::chrono::seconds{1};
    /// An order that could not be sent within this time, or before the lease
    /// expires, is not sent at all.
    duration send_timeout = std::chrono::seconds{5};
    /// Upper bound on the delay of an order: how long a new leader waits for
    /// orders of the previous one, and how long after an order a report is
    /// trusted to show its effect.
    duration max_order_delay = std::chrono::seconds{10};
    /// Minimum time between two orders to one engine, so that it can report the
    /// effect of the first.
    duration resend_interval = std::chrono::seconds{5};
    /// Time after which an order that a previous leader may have left unsent is
    /// assumed never to arrive. Engines that check fencing numbers need no such
    /// assumption, as they refuse that order.
    duration pending_unload_expiry = std::chrono::hours{1};
    /// Rate and burst of layer loads, in layers per second and layers, over all
    /// engines together.
    double load_rate = 4;
    double load_burst = 32;
    placement_settings placing;
};

struct order_counters
{
    std::uint64_t sent = 0;
    /// Orders refused for an old fencing number, as another instance is the
    /// leader.
    std::uint64_t refused_by_fence = 0;
    std::uint64_t unknown = 0;
    /// Unloads and role changes not sent because no other engine holds the
    /// layers reliably.
    std::uint64_t blocked_unloads = 0;
    std::uint64_t moves = 0;
};

/// Drives the engines to their desired states while this instance is the
/// leader. What an order may unload is stored before the order is sent, so that
/// a later leader does not rely on a layer that a late order could still
/// unload. Used only by the thread that drives the lease.
class order_controller
{
public:
    order_controller(
        const lease_client& lease,
        store& objects,
        order_sink& sink,
        const snapshot_cell<fleet_snapshot>& fleet,
        const clock& time,
        order_settings settings = {});

    /// Sends the orders that are due. Does nothing unless this instance is the
    /// leader.
    void step(const std::vector<model_demand>& demand);

    /// Sets the desired state of one engine. Errors: errc::forbidden (not the
    /// leader), errc::unavailable (not saved, or an earlier order to the engine
    /// is unresolved; retry).
    result<void>
    set_desired(const server_id& server, const desired_state& desired);

    order_counters counters() const;

private:
    /// State that is kept for one period of leadership.
    struct leader_state
    {
        fencing_number fence;
        time_point acquired_at;
        order_cache cache;
        load_rate_limit loads;
        placement placing;
        std::map<server_id, time_point> last_sent;
    };

    bool refresh_leadership();
    bool ensure_cache_loaded();
    bool is_settled(const engine& server, const pending_unload& open) const;
    bool has_elapsed_since_order(
        const server_id& server, duration since_last_order) const;
    void remove_settled_unloads(const engine& server);
    void raise_fence(const engine& server);
    void rebalance(
        const fleet_snapshot& now, const std::vector<model_demand>& demand);
    void reconcile(const engine& server);
    void change_role(const engine& server, server_role role);
    void unload(const engine& server, const holding& unloaded);
    void load(const engine& server, const holding& wanted);
    bool can_remove(
        const server_id& server, const holding& lost, server_role role) const;
    result<void> send_removal(
        const engine& server,
        const std::vector<holding>& removed,
        order_content content);
    result<void> send(const server_id& server, order_content content);
    void record_removal(
        const server_id& server,
        const std::vector<holding>& removed,
        const result<void>& sent);
    time_point store_deadline() const;

    const lease_client& lease;
    store& objects;
    order_sink& sink;
    const snapshot_cell<fleet_snapshot>& fleet;
    const clock& time;
    const order_settings settings;
    std::optional<leader_state> state;
    order_counters counts;
};

} // namespace fireflysail
