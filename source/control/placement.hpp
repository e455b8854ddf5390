#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "control/layer_coverage.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace fireflysail
{

/// Work that callers want done at once, in slots.
struct model_demand
{
    model_id model;
    model_version version;
    double slots = 0;
};

struct placement_settings
{
    /// Demand over capacity above which a model gets another holder.
    double high_utilization = 0.85;
    /// Demand over capacity below which a model may give one up.
    double low_utilization = 0.4;
    /// For how long either must last.
    duration sustain_time = std::chrono::seconds{30};
    /// Pause after a move, in which its load takes effect and is reported.
    duration cooldown = std::chrono::seconds{120};
};

/// One engine gives up layers that are in low demand for others that are in
/// high demand.
struct placement_move
{
    server_id server;
    holding unloaded;
    holding loaded;
};

/// Follows demand with hysteresis: one move at a time, after a sustained
/// imbalance, and never the last holder of a layer range.
class placement
{
public:
    explicit placement(placement_settings settings = {});

    std::optional<placement_move> choose_move(
        const fleet_snapshot& fleet,
        const std::vector<uncertain_holding>& uncertain,
        const std::vector<model_demand>& demand,
        time_point now);

private:
    using model_key = std::pair<model_id, model_version>;
    using since_map = std::map<model_key, time_point>;

    static void update_start(
        since_map& since, const model_key& key, bool holds, time_point now);
    bool is_sustained(
        const since_map& since, const model_key& key, time_point now) const;
    std::optional<placement_move> find_move(
        const fleet_snapshot& fleet,
        const layer_coverage& coverage,
        const std::vector<model_demand>& demand,
        const model_demand& overloaded,
        time_point now) const;
    bool can_unload(
        const engine& server,
        const holding& held,
        const layer_coverage& coverage,
        const std::vector<model_demand>& demand,
        time_point now) const;

    const placement_settings settings;
    since_map high_since;
    since_map low_since;
    std::optional<time_point> last_move;
};

} // namespace fireflysail
