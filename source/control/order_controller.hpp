#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/rcu_cell.hpp"
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
    /// For how long an order may be under way before its sender gives up.
    duration order_timeout = std::chrono::seconds{5};
    /// How long a new leader waits for orders of the one before it.
    duration max_order_delay = std::chrono::seconds{10};
    /// Pause between orders to one engine, in which it reports their effect.
    duration resend_interval = std::chrono::seconds{5};
    /// After this, an order that a former leader may have left unsent is taken
    /// as never to arrive. Engines that check fencing numbers need no such
    /// guess.
    duration pending_unload_expiry = std::chrono::hours{1};
    /// Layers a second that all engines together may load.
    double load_rate = 4;
    double load_burst = 32;
    placement_settings placing;
};

struct order_counters
{
    std::uint64_t sent = 0;
    /// Refused for an old fencing number: another instance leads.
    std::uint64_t refused_by_fence = 0;
    std::uint64_t unknown = 0;
    /// Unloads held back because no other engine is sure to hold the layers.
    std::uint64_t blocked_unloads = 0;
    std::uint64_t moves = 0;
};

/// Brings the engines to their desired states while this instance leads. What
/// an order may end is in the store before the order is sent, so that whoever
/// leads next counts on no layer that a late order could still take away.
/// Used by the thread that drives the lease.
class order_controller
{
public:
    order_controller(
        const lease_client& lease,
        store& objects,
        order_sink& sink,
        const rcu_cell<fleet_snapshot>& fleet,
        const clock& time,
        order_settings settings = {});

    /// Does what is due. Does nothing unless this instance leads.
    void step(const std::vector<model_demand>& demand);

    /// Sets the desired state of one engine. Errors: errc::forbidden (not the
    /// leader), errc::unavailable (not saved, or an earlier order to it is
    /// unresolved; try again).
    result<void>
    set_desired(const server_id& server, const desired_state& desired);

    order_counters counters() const;

private:
    /// What one stretch of leadership knows.
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
    const rcu_cell<fleet_snapshot>& fleet;
    const clock& time;
    const order_settings settings;
    std::optional<leader_state> state;
    order_counters counts;
};

} // namespace fireflysail
