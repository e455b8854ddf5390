#include "control/layer_coverage.hpp"

#include <algorithm>
#include <array>
#include <ranges>

namespace fireflysail
{

namespace
{

bool holds_layer(const holding& held, const holding& wanted, layer_index layer)
{
    return held.model == wanted.model && held.version == wanted.version &&
           held.layers.first <= layer && layer < held.layers.last;
}

auto layers_of(const layer_range& range)
{
    return std::views::iota(range.first.value(), range.last.value()) |
           std::views::transform(
               [](std::uint32_t layer)
               {
                   return layer_index{layer};
               });
}

} // namespace

bool can_serve(server_role role, inference_phase phase)
{
    switch (role)
    {
    case server_role::mixed:
        return true;
    case server_role::prefill:
        return phase == inference_phase::prefill;
    case server_role::decode:
        break;
    }
    return phase == inference_phase::decode;
}

layer_coverage::layer_coverage(
    const fleet_snapshot& fleet,
    const std::vector<uncertain_holding>& uncertain)
    : fleet{fleet}
    , uncertain{uncertain}
{
}

bool layer_coverage::can_remove(
    const server_id& server,
    const holding& removed,
    inference_phase phase) const
{
    return std::ranges::all_of(
        layers_of(removed.layers),
        [&](layer_index layer)
        {
            return this->is_held_by_another(server, removed, layer, phase);
        });
}

bool layer_coverage::can_remove(
    const server_id& server, const holding& removed, server_role role) const
{
    return std::ranges::all_of(
        std::array{inference_phase::prefill, inference_phase::decode},
        [&](inference_phase phase)
        {
            return !can_serve(role, phase) ||
                   this->can_remove(server, removed, phase);
        });
}

double layer_coverage::capacity(
    const model_id& model, const model_version& version) const
{
    const auto shape =
        std::ranges::find(this->fleet.models, model, &model_shape::id);
    if (shape == this->fleet.models.end())
    {
        return 0;
    }
    std::vector<double> slots(shape->layers, 0);
    for (const auto& server : this->fleet.engines)
    {
        for (const auto& held : server.holdings)
        {
            if (held.model != model || held.version != version ||
                !this->is_reliable(server, held))
            {
                continue;
            }
            const auto last = std::min<std::uint32_t>(
                held.layers.last.value(), shape->layers);
            for (auto layer = held.layers.first.value(); layer < last; ++layer)
            {
                slots[layer] += server.load.slots;
            }
        }
    }
    return slots.empty() ? 0 : std::ranges::min(slots);
}

double layer_coverage::capacity_without(
    const server_id& server, const holding& held) const
{
    auto without = this->uncertain;
    without.push_back({server, held});
    return layer_coverage{this->fleet, without}.capacity(
        held.model, held.version);
}

bool layer_coverage::is_reliable(
    const engine& server, const holding& held) const
{
    const auto may_be_removed = [&](const uncertain_holding& one)
    {
        return one.server == server.id && one.held.model == held.model &&
               one.held.version == held.version &&
               one.held.layers == held.layers;
    };
    return server.healthy && accepts_new_work(server.mark) &&
           std::ranges::none_of(this->uncertain, may_be_removed);
}

bool layer_coverage::is_held_by_another(
    const server_id& server,
    const holding& removed,
    layer_index layer,
    inference_phase phase) const
{
    const auto holds = [&](const engine& other)
    {
        return other.id != server && can_serve(other.role, phase) &&
               std::ranges::any_of(
                   other.holdings,
                   [&](const holding& held)
                   {
                       return holds_layer(held, removed, layer) &&
                              this->is_reliable(other, held);
                   });
    };
    return std::ranges::any_of(this->fleet.engines, holds);
}

} // namespace fireflysail
