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
    /// Engines enter the store one by one as a fleet starts; the first layout
    /// waits until no new one came for this long, and for the interval at which
    /// the instance fetches changes of the fleet on top.
    duration settle_time = std::chrono::milliseconds{600};
    duration fetch_interval{};
    /// A leader repairs in less; above it up to the spread is waited at random.
    duration takeover_delay = std::chrono::milliseconds{500};
    duration takeover_jitter = std::chrono::seconds{2};
    /// Pause before an engine that did not take its order is tried again.
    duration retry_delay = std::chrono::milliseconds{400};
    /// An order without visible effect is given up after the time of its load,
    /// as often as this, and the report delay on top.
    double load_timeout_factor = 4;
    duration report_delay = std::chrono::seconds{4};
};

/// Gives the engines the layers that the layout wants. Runs on the instance
/// that leads; what engines hold is read from themselves, so that a new leader
/// goes on where the last one stopped.
class layout_controller
{
public:
    layout_controller(
        blackboard& board,
        engine_control& engines,
        const engine_prober& prober,
        const clock& time,
        layout_controller_options options = {});

    /// Sends the orders that are due. Ends early once `still_leads` does not
    /// hold. Blocks for a bounded time per order. False once an engine refused
    /// the fencing number.
    bool step(
        const leadership& current,
        const std::function<bool()>& is_still_leader);

    /// True once layers have been missing for longer than a leader that lives
    /// would let them. Instances come to it at different moments, so that few
    /// ask the store for the lease. May be called whoever leads.
    bool is_takeover_due();

private:
    struct pending_order
    {
        layer_range layers;
        std::uint64_t started_at_ms = 0;
        time_point give_up_at;
        /// Not before this moment after an order that was not taken.
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
    /// Since when the layout wants orders.
    std::optional<time_point> incomplete_since;
    duration takeover_wait{};
    std::mt19937_64 random{std::random_device{}()};
    std::size_t last_engine_count = 0;
    time_point engine_count_changed_at{};
};

} // namespace fireflysail
