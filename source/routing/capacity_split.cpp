#include "routing/capacity_split.hpp"

#include <algorithm>
#include <numeric>
#include <span>
#include <tuple>

namespace fireflysail
{

namespace
{

constexpr int bisection_steps = 40;

/// Relative rounding error of a flow that is ignored.
constexpr double rounding_tolerance = 1e-9;

/// Layers that an engine executes per second, over all streams of its batch.
double layer_rate(const graph_engine& holder)
{
    const std::chrono::duration<double> each = holder.layer_time;
    return static_cast<double>(holder.batch) / each.count();
}

/// Engines that hold the same range of layers. They share its work in
/// proportion to their speed.
struct range_group
{
    layer_range layers;
    std::vector<std::size_t> engines;
    double rate = 0;
};

std::vector<range_group> group_by_range(const stage_graph& graph)
{
    std::vector<std::size_t> order(graph.engines.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto range_end = [&](std::size_t e)
    {
        const layer_range& layers = graph.engines[e].layers;
        return std::tuple{layers.last, layers.first, e};
    };
    std::ranges::sort(order, {}, range_end);
    std::vector<range_group> groups;
    for (const std::size_t e : order)
    {
        const graph_engine& holder = graph.engines[e];
        if (groups.empty() || groups.back().layers != holder.layers)
        {
            groups.push_back({holder.layers, {}, 0});
        }
        groups.back().engines.push_back(e);
        groups.back().rate += layer_rate(holder);
    }
    return groups;
}

bool covers(const stage_graph& graph, const range_group& group, std::size_t s)
{
    return group.layers.first.value() <= graph.boundaries[s] &&
           graph.boundaries[s + 1] <= group.layers.last.value();
}

/// Assigns `flow` to the groups on each segment. Returns false if `flow`
/// exceeds their capacity. The segments are visited from the first layer to the
/// last, and the group whose range ends first is used first: any later segment
/// that it could serve can also be served by the groups whose ranges end later.
bool assign_flow(
    const stage_graph& graph,
    const std::vector<range_group>& groups,
    double flow,
    std::vector<double>& assigned)
{
    const std::size_t segments = graph.segments();
    assigned.assign(groups.size() * segments, 0);
    std::vector<double> rate_left(groups.size());
    std::ranges::transform(groups, rate_left.begin(), &range_group::rate);
    for (std::size_t s = 0; s < segments; ++s)
    {
        const double layers =
            graph.boundaries[s + 1] - static_cast<double>(graph.boundaries[s]);
        double remaining = flow;
        for (std::size_t g = 0; g < groups.size() && remaining > 0; ++g)
        {
            if (!covers(graph, groups[g], s))
            {
                continue;
            }
            const double taken = std::min(remaining, rate_left[g] / layers);
            assigned[g * segments + s] = taken;
            rate_left[g] -= taken * layers;
            remaining -= taken;
        }
        if (remaining > flow * rounding_tolerance)
        {
            return false;
        }
    }
    return true;
}

double
upper_bound(const stage_graph& graph, const std::vector<range_group>& groups)
{
    const double rates = std::accumulate(
        groups.begin(),
        groups.end(),
        0.0,
        [](double sum, const range_group& group)
        {
            return sum + group.rate;
        });
    return rates / std::max(1U, graph.layers);
}

/// Distributes the flows of a group to its engines, each used up to the same
/// fraction of its rate. Segments are assigned to one engine after another so
/// that few engines run several segments: streams at different layers batch
/// poorly.
void distribute_to_engines(
    const stage_graph& graph,
    const range_group& group,
    std::span<const double> flows,
    capacity_split& split)
{
    const auto layers_of = [&](std::size_t s)
    {
        return graph.boundaries[s + 1] -
               static_cast<double>(graph.boundaries[s]);
    };
    double work = 0;
    for (std::size_t s = 0; s < flows.size(); ++s)
    {
        work += flows[s] * layers_of(s);
    }
    const double used = work / group.rate;
    std::size_t segment = 0;
    double remaining = flows[0];
    for (const std::size_t e : group.engines)
    {
        double work_left = used * layer_rate(graph.engines[e]);
        while (segment < flows.size())
        {
            const double taken =
                std::min(remaining, work_left / layers_of(segment));
            split.at(e, segment) += taken;
            work_left -= taken * layers_of(segment);
            remaining -= taken;
            if (remaining > flows[segment] * rounding_tolerance)
            {
                break;
            }
            ++segment;
            remaining = segment < flows.size() ? flows[segment] : 0;
        }
    }
}

} // namespace

double& capacity_split::at(std::size_t engine, std::size_t segment)
{
    return this->parts[engine * this->segments + segment];
}

double capacity_split::at(std::size_t engine, std::size_t segment) const
{
    return this->parts[engine * this->segments + segment];
}

capacity_split split_capacity(const stage_graph& graph)
{
    const auto groups = group_by_range(graph);
    capacity_split split;
    split.segments = graph.segments();
    split.parts.assign(graph.engines.size() * split.segments, 0);
    std::vector<double> assigned;
    double low = 0;
    double high = upper_bound(graph, groups);
    if (assign_flow(graph, groups, high, assigned))
    {
        low = high;
    }
    for (int i = 0; i < bisection_steps && low < high; ++i)
    {
        const double middle = (low + high) / 2;
        (assign_flow(graph, groups, middle, assigned) ? low : high) = middle;
    }
    if (low <= upper_bound(graph, groups) * rounding_tolerance)
    {
        return split;
    }
    assign_flow(graph, groups, low, assigned);
    split.flow = low;
    for (std::size_t g = 0; g < groups.size(); ++g)
    {
        distribute_to_engines(
            graph,
            groups[g],
            std::span{assigned}.subspan(g * split.segments, split.segments),
            split);
    }
    return split;
}

} // namespace fireflysail
