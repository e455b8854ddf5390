#pragma once

#include "blackboard/blackboard.hpp"
#include "common/clock.hpp"
#include "control/engine_control.hpp"
#include "control/engine_prober.hpp"
#include "control/leader_lease.hpp"
#include "routing/layer_layout.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace fireflysail
{

struct layout_controller_options
{
    /// Engines register in the store one by one while a fleet starts. The first
    /// layout waits until no engine has been added for this time plus
    /// `fetch_interval`, the interval at which the instance fetches fleet
    /// changes.
    duration settle_time = std::chrono::milliseconds{600};
    duration fetch_interval{};
    /// How long the layout may stay incomplete before an instance requests the
    /// lease: longer than a working leader needs for a repair, plus a random
    /// time of up to `takeover_jitter`.
    duration takeover_delay = std::chrono::milliseconds{500};
    duration takeover_jitter = std::chrono::seconds{2};
    /// Delay before an order that the engine did not accept is sent again.
    duration retry_delay = std::chrono::milliseconds{400};
    /// An accepted order that shows no effect expires after the expected load
    /// time, multiplied by this factor, plus `report_delay`.
    double load_timeout_factor = 4;
    duration report_delay = std::chrono::seconds{4};
};

/// Orders engines to load the layers that the layout assigns to them. Runs on
/// the leader. The layers that an engine holds are taken from its own reports,
/// so that a new leader continues where the previous one stopped.
class layout_controller
{
public:
    layout_controller(
        blackboard& board,
        engine_control& engines,
        const engine_prober& prober,
        const clock& time,
        layout_controller_options options = {});

    /// Sends the orders that are due and returns early once `is_still_leader`
    /// returns false. Blocks for a bounded time per order. Returns false once
    /// an engine has refused the fencing number.
    bool step(
        const leadership& current,
        const std::function<bool()>& is_still_leader);

    /// True once the layout has been incomplete for longer than a working
    /// leader would leave it. The time has a random part per instance, so that
    /// few instances request the lease from the store. May be called whether or
    /// not this instance is the leader.
    bool is_takeover_due();

private:
    struct pending_order
    {
        layer_range layers;
        std::uint64_t started_at_ms = 0;
        time_point give_up_at;
        /// Earliest time of the next order to the engine.
        time_point retry_at;
        bool accepted = false;
    };

    std::vector<layout_step>
    plan(const fleet_snapshot& fleet, const service_profile& service) const;
    void drop_finished_orders(const fleet_snapshot& fleet, time_point now);
    std::vector<layout_engine> build_layout_engines(
        const fleet_snapshot& fleet,
        const service_id& service,
        const engine_profile& profile) const;
    bool is_fleet_stable(const fleet_snapshot& fleet, time_point now);
    order_outcome send_order(
        const engine& server,
        const layout_step& step,
        const engine_profile& profile,
        fencing_number fence);

    blackboard& board;
    engine_control& engines;
    const engine_prober& prober;
    const clock& time;
    const layout_controller_options options;
    std::map<server_id, pending_order> pending;
    /// When `is_takeover_due` first found the layout incomplete; reset when the
    /// layout is complete and by each `step`.
    std::optional<time_point> incomplete_since;
    duration takeover_wait{};
    std::mt19937_64 random{std::random_device{}()};
    std::size_t last_engine_count = 0;
    time_point engine_count_changed_at{};
};

} // namespace fireflysail
