#include "control/placement.hpp"

#include <algorithm>
#include <limits>

namespace fireflysail
{

namespace
{

double utilization_of(const model_demand& demand, double capacity)
{
    if (demand.slots <= 0)
    {
        return 0;
    }
    return capacity > 0 ? demand.slots / capacity
                        : std::numeric_limits<double>::infinity();
}

bool is_holding_of(const holding& held, const model_demand& demand)
{
    return held.model == demand.model && held.version == demand.version;
}

/// Returns the reliable holding of the model whose layers have the fewest
/// slots.
std::optional<holding> find_bottleneck(
    const fleet_snapshot& fleet,
    const layer_coverage& coverage,
    const model_demand& wanted)
{
    std::map<holding, double> slots;
    for (const auto& server : fleet.engines)
    {
        for (const auto& held : server.holdings)
        {
            if (is_holding_of(held, wanted) &&
                coverage.is_reliable(server, held))
            {
                slots[held] += server.load.slots;
            }
        }
    }
    const auto bottleneck = std::ranges::min_element(
        slots,
        {},
        [](const auto& item)
        {
            return item.second;
        });
    if (bottleneck == slots.end())
    {
        return std::nullopt;
    }
    return bottleneck->first;
}

} // namespace

placement::placement(placement_settings settings)
    : settings{settings}
{
}

std::optional<placement_move> placement::choose_move(
    const fleet_snapshot& fleet,
    const std::vector<uncertain_holding>& uncertain,
    const std::vector<model_demand>& demand,
    time_point now)
{
    const layer_coverage coverage{fleet, uncertain};
    for (const auto& wanted : demand)
    {
        const auto utilization = utilization_of(
            wanted, coverage.capacity(wanted.model, wanted.version));
        const model_key key{wanted.model, wanted.version};
        update_start(
            this->high_since,
            key,
            utilization > this->settings.high_utilization,
            now);
        update_start(
            this->low_since,
            key,
            utilization < this->settings.low_utilization,
            now);
    }
    if (this->last_move && now < *this->last_move + this->settings.cooldown)
    {
        return std::nullopt;
    }
    for (const auto& overloaded : demand)
    {
        if (!this->is_sustained(
                this->high_since, {overloaded.model, overloaded.version}, now))
        {
            continue;
        }
        if (auto move =
                this->find_move(fleet, coverage, demand, overloaded, now))
        {
            this->last_move = now;
            return move;
        }
    }
    return std::nullopt;
}

void placement::update_start(
    since_map& since, const model_key& key, bool holds, time_point now)
{
    if (holds)
    {
        since.try_emplace(key, now);
        return;
    }
    since.erase(key);
}

bool placement::is_sustained(
    const since_map& since, const model_key& key, time_point now) const
{
    const auto start = since.find(key);
    return start != since.end() &&
           now >= start->second + this->settings.sustain_time;
}

std::optional<placement_move> placement::find_move(
    const fleet_snapshot& fleet,
    const layer_coverage& coverage,
    const std::vector<model_demand>& demand,
    const model_demand& overloaded,
    time_point now) const
{
    const auto wanted = find_bottleneck(fleet, coverage, overloaded);
    if (!wanted)
    {
        return std::nullopt;
    }
    for (const auto& server : fleet.engines)
    {
        const bool is_holder = std::ranges::any_of(
            server.holdings,
            [&](const holding& held)
            {
                return is_holding_of(held, overloaded);
            });
        if (is_holder)
        {
            continue;
        }
        for (const auto& held : server.holdings)
        {
            if (held.layers.size() >= wanted->layers.size() &&
                this->can_unload(server, held, coverage, demand, now))
            {
                return placement_move{server.id, held, *wanted};
            }
        }
    }
    return std::nullopt;
}

bool placement::can_unload(
    const engine& server,
    const holding& held,
    const layer_coverage& coverage,
    const std::vector<model_demand>& demand,
    time_point now) const
{
    const auto own_demand = std::ranges::find_if(
        demand,
        [&](const model_demand& one)
        {
            return is_holding_of(held, one);
        });
    if (own_demand == demand.end() ||
        !this->is_sustained(this->low_since, {held.model, held.version}, now) ||
        !coverage.is_reliable(server, held) ||
        !coverage.can_remove(server.id, held, server.role))
    {
        return false;
    }
    // Otherwise the model would request the engine back at once.
    return utilization_of(
               *own_demand, coverage.capacity_without(server.id, held)) <
           this->settings.high_utilization;
}

} // namespace fireflysail
