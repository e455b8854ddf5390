#include "fleet_bound.hpp"

#include "common/invariant.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace fireflysail::benchmarks
{

namespace
{

constexpr std::size_t most_segments = 16;

double seconds(duration time)
{
    return std::chrono::duration<double>{time}.count();
}

/// Layers of requests that an engine runs each second with full batches.
double layers_per_second(
    const simulation::engine_shape& shape, const mean_request& request)
{
    const double decode = seconds(shape.step_per_layer) / shape.max_batch +
                          seconds(shape.step_per_item_layer);
    const double prefill = seconds(shape.prefill_per_token_layer);
    return 1 /
           (request.output_tokens * decode + request.prompt_tokens * prefill);
}

std::vector<std::uint32_t>
find_cuts(std::span<const bounded_engine> engines, std::uint32_t layers)
{
    std::vector<std::uint32_t> cuts{0, layers};
    for (const bounded_engine& each : engines)
    {
        cuts.push_back(each.layers.first.value());
        cuts.push_back(each.layers.last.value());
    }
    std::ranges::sort(cuts);
    const auto repeated = std::ranges::unique(cuts);
    cuts.erase(repeated.begin(), repeated.end());
    return cuts;
}

bool holds(const bounded_engine& holder, std::uint32_t first)
{
    return holder.layers.first.value() <= first &&
           first < holder.layers.last.value();
}

/// The segments that the engine holds, one bit each.
unsigned segments_held(
    const bounded_engine& holder, const std::vector<std::uint32_t>& cuts)
{
    unsigned held = 0;
    for (std::size_t s = 0; s + 1 < cuts.size(); ++s)
    {
        held |= holds(holder, cuts[s]) ? 1U << s : 0U;
    }
    return held;
}

} // namespace

double tokens_per_second_bound(
    std::span<const bounded_engine> engines,
    std::uint32_t layers,
    const mean_request& request)
{
    const auto cuts = find_cuts(engines, layers);
    ensure(cuts.size() <= most_segments + 1, "few enough segments to try all");
    double least = std::numeric_limits<double>::infinity();
    const unsigned all = 1U << (cuts.size() - 1);
    for (unsigned group = 1; group < all; ++group)
    {
        double supply = 0;
        for (const bounded_engine& each : engines)
        {
            const bool any = (segments_held(each, cuts) & group) != 0;
            supply += any ? layers_per_second(each.shape, request) : 0;
        }
        double demand = 0;
        for (std::size_t s = 0; s + 1 < cuts.size(); ++s)
        {
            demand += (group >> s & 1U) != 0 ? cuts[s + 1] - cuts[s] : 0;
        }
        least = std::min(least, supply / demand);
    }
    return least * request.output_tokens;
}

} // namespace fireflysail::benchmarks
