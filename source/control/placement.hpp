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

/// Concurrent demand for a model version, in slots.
struct model_demand
{
    model_id model;
    model_version version;
    double slots = 0;
};

struct placement_settings
{
    /// Ratio of demand to capacity above which a model gets another engine.
    double high_utilization = 0.85;
    /// Ratio of demand to capacity below which a model may lose an engine.
    double low_utilization = 0.4;
    /// How long the utilization must stay beyond either threshold.
    duration sustain_time = std::chrono::seconds{30};
    /// Minimum time between moves, so that the load of the previous one takes
    /// effect and is reported.
    duration cooldown = std::chrono::seconds{120};
};

/// One engine unloads layers in low demand and loads layers in high demand.
struct placement_move
{
    server_id server;
    holding unloaded;
    holding loaded;
};

/// Adapts the placement of models to demand, with hysteresis: one move at a
/// time, only after a sustained imbalance, and never of the last holder of a
/// layer range.
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
