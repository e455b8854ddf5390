#include "routing/candidates.hpp"

#include "common/hash.hpp"
#include "routing/aligned_pipelines.hpp"
#include "routing/capacity_split.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <numeric>
#include <ranges>
#include <string_view>
#include <utility>

namespace fireflysail
{

namespace
{

/// Number of times that the flow is decomposed into pipelines. Each round pairs
/// engines differently, so that the loss of one engine idles none of the
/// others.
constexpr std::uint64_t rounds = 4;

constexpr std::size_t disjoint_candidates = 4;

/// Maximum number of stages that engines accept in one pipeline.
constexpr std::size_t max_stages = 32;

/// Share of each of the cheapest disjoint candidates, relative to the flow that
/// its engines could carry. Small, because the cover already plans the use of
/// these engines.
constexpr double disjoint_share = 0.01;

/// Largest relative noise added to step times when a round pairs engines
/// differently: small compared to a link to another region, but enough to break
/// ties.
constexpr double pairing_noise = 0.1;

/// Flow below this fraction of the total gets no pipeline of its own.
constexpr double min_flow_fraction = 1e-4;

/// Minimum fraction of the flow that the decomposition must reach; below it the
/// greedy allocation is used instead.
constexpr double min_decomposed_fraction = 0.98;

/// Fraction of an engine that one step of the greedy allocation takes. Small
/// fleets can afford smaller steps and searches with more repairs.
constexpr double min_fill_step = 0.01;
constexpr double max_fill_step = 0.125;
constexpr double engines_with_largest_step = 60;
constexpr int min_fill_repairs = 4;
constexpr int max_fill_repairs = 32;

double fill_step(std::size_t engines)
{
    const double size =
        static_cast<double>(engines) / engines_with_largest_step;
    return std::clamp(
        size * size * max_fill_step, min_fill_step, max_fill_step);
}

int fill_repairs(std::size_t engines)
{
    const double size =
        static_cast<double>(engines) / engines_with_largest_step;
    return std::clamp(
        static_cast<int>(min_fill_repairs / size),
        min_fill_repairs,
        max_fill_repairs);
}

/// Exponent of the weight of an engine that is fully used.
constexpr double fill_exponent = 25;

double noise(const graph_engine& holder, std::uint64_t round)
{
    constexpr double range = 18446744073709551616.0;
    const std::array<std::uint64_t, 2> input{holder.server_key, round};
    const std::string_view bytes{
        reinterpret_cast<const char*>(input.data()), sizeof input};
    return static_cast<double>(stable_hash(bytes)) / range;
}

/// Collects pipelines and merges equal ones by adding up their shares.
class candidate_list
{
public:
    void add(pipeline candidate)
    {
        this->total += candidate.share;
        const auto [known, fresh] =
            this->position.emplace(candidate.key, this->list.size());
        if (fresh)
        {
            this->list.push_back(std::move(candidate));
            return;
        }
        this->list[known->second].share += candidate.share;
    }

    double total_share() const
    {
        return this->total;
    }

    std::vector<pipeline> take()
    {
        return std::move(this->list);
    }

private:
    std::vector<pipeline> list;
    absl::flat_hash_map<std::uint64_t, std::size_t> position;
    double total = 0;
};

path_ends whole_model(const stage_graph& graph)
{
    return {0, graph.segments(), std::nullopt, std::nullopt};
}

path_costs plain_costs(const stage_graph& graph)
{
    path_costs costs;
    costs.weights.assign(graph.engines.size(), 1);
    return costs;
}

/// Fraction of an engine that one unit of flow uses on a part of the path.
double usage(const stage_graph& graph, const path_part& part)
{
    const graph_engine& holder = graph.engines[part.engine];
    const std::chrono::duration<double> each_layer = holder.layer_time;
    const std::uint32_t layers =
        graph.boundaries[part.last] - graph.boundaries[part.first];
    return each_layer.count() * layers / holder.batch;
}

void add_candidate(
    const stage_graph& graph,
    const std::vector<path_part>& parts,
    double share,
    candidate_list& found)
{
    pipeline candidate = make_pipeline(graph, parts);
    candidate.share = share;
    found.add(std::move(candidate));
}

/// Decomposes a capacity split into pipelines, tracking the remaining capacity.
class flow_decomposition
{
public:
    flow_decomposition(const stage_graph& graph, const capacity_split& split)
        : graph{graph}
        , left{split}
        , smallest{split.flow * min_flow_fraction}
    {
    }

    /// Each path takes the same flow from every segment, so that the remaining
    /// split still carries an equal flow through all segments.
    void run(std::uint64_t round, candidate_list& found)
    {
        path_costs costs = this->initial_costs(round);
        double remaining = this->left.flow;
        while (remaining > this->smallest)
        {
            const auto parts =
                cheapest_path(this->graph, whole_model(this->graph), costs);
            if (parts.empty())
            {
                return;
            }
            const double flow = this->bottleneck(parts);
            this->subtract(parts, flow, costs);
            remaining -= flow;
            add_candidate(this->graph, parts, flow, found);
        }
    }

private:
    path_costs initial_costs(std::uint64_t round) const
    {
        path_costs costs = plain_costs(this->graph);
        costs.repairs = 2;
        for (const double part : this->left.parts)
        {
            costs.blocked.push_back(part <= this->smallest);
        }
        if (round > 0)
        {
            std::ranges::transform(
                this->graph.engines,
                costs.weights.begin(),
                [&](const graph_engine& holder)
                {
                    return 1 + pairing_noise * noise(holder, round);
                });
        }
        return costs;
    }

    double bottleneck(const std::vector<path_part>& parts) const
    {
        double least = this->left.flow;
        for (const path_part& part : parts)
        {
            for (std::size_t s = part.first; s < part.last; ++s)
            {
                least = std::min(least, this->left.at(part.engine, s));
            }
        }
        return least;
    }

    void subtract(
        const std::vector<path_part>& parts, double flow, path_costs& costs)
    {
        for (const path_part& part : parts)
        {
            for (std::size_t s = part.first; s < part.last; ++s)
            {
                double& rest = this->left.at(part.engine, s);
                rest -= flow;
                costs.blocked[part.engine * this->left.segments + s] =
                    rest <= this->smallest;
            }
        }
    }

    const stage_graph& graph;
    capacity_split left;
    double smallest = 0;
};

/// Decomposes the split of the engines' capacity into pipelines. Exact when
/// layer ranges are aligned. Where they overlap partially, some of the split
/// can only be used by pipelines that visit an engine twice, which the path
/// search does not return; empty when too much of the flow is lost that way.
candidate_list decompose(const stage_graph& graph, capacity_split split)
{
    candidate_list found;
    split.flow /= rounds;
    std::ranges::for_each(
        split.parts,
        [](double& part)
        {
            part /= rounds;
        });
    for (std::uint64_t round = 0; round < rounds; ++round)
    {
        const double before = found.total_share();
        flow_decomposition{graph, split}.run(round, found);
        if (found.total_share() - before < min_decomposed_fraction * split.flow)
        {
            return {};
        }
    }
    return found;
}

/// Greedy allocation: adds flow in small steps along the cheapest path until no
/// path has capacity left. The weight of an engine grows with its use.
candidate_list allocate_greedily(const stage_graph& graph)
{
    candidate_list found;
    std::vector<double> used(graph.engines.size(), 0);
    path_costs costs = plain_costs(graph);
    costs.repairs = fill_repairs(graph.engines.size());
    const double step = fill_step(graph.engines.size());
    while (true)
    {
        const auto parts = cheapest_path(graph, whole_model(graph), costs);
        if (parts.empty())
        {
            return found;
        }
        double flow = std::numeric_limits<double>::infinity();
        for (const path_part& part : parts)
        {
            const double room = std::min(step, 1 - used[part.engine]);
            flow = std::min(flow, room / usage(graph, part));
        }
        for (const path_part& part : parts)
        {
            double& use = used[part.engine];
            use += flow * usage(graph, part);
            costs.weights[part.engine] =
                use < 1 - min_flow_fraction
                    ? std::exp(fill_exponent * use)
                    : std::numeric_limits<double>::infinity();
        }
        add_candidate(graph, parts, flow, found);
    }
}

void add_disjoint(const stage_graph& graph, candidate_list& found)
{
    path_costs costs = plain_costs(graph);
    for (std::size_t i = 0; i < disjoint_candidates; ++i)
    {
        const auto parts = cheapest_path(graph, whole_model(graph), costs);
        if (parts.empty())
        {
            return;
        }
        double largest_usage = 0;
        for (const path_part& part : parts)
        {
            costs.weights[part.engine] =
                std::numeric_limits<double>::infinity();
            largest_usage = std::max(largest_usage, usage(graph, part));
        }
        add_candidate(graph, parts, disjoint_share / largest_usage, found);
    }
}

/// Whether a pipeline visits an engine twice, as one that holds two adjoining
/// ranges; engines refuse that.
bool visits_engine_twice(
    const stage_graph& graph, const std::vector<path_part>& parts)
{
    absl::flat_hash_set<engine_slot> seen;
    return !std::ranges::all_of(
        parts,
        [&graph, &seen](const path_part& part)
        {
            return seen.insert(graph.engines[part.engine].slot).second;
        });
}

/// Adds the pipelines whose engines adjoin, each with the flow that its slowest
/// stage carries. Returns false, and adds none, if they leave an engine without
/// work: during a repair, and while engines hold layers twice, pipelines that
/// share engines use more of the fleet.
bool add_aligned(const stage_graph& graph, candidate_list& found)
{
    const auto aligned = find_aligned_pipelines(graph);
    const std::size_t used = std::transform_reduce(
        aligned.begin(),
        aligned.end(),
        std::size_t{0},
        std::plus{},
        [](const std::vector<path_part>& parts)
        {
            return parts.size();
        });
    const bool is_refused = std::ranges::any_of(
        aligned,
        [&graph](const std::vector<path_part>& parts)
        {
            return visits_engine_twice(graph, parts);
        });
    if (used < graph.engines.size() || is_refused)
    {
        return false;
    }
    for (const std::vector<path_part>& parts : aligned)
    {
        const double slowest = std::ranges::max(
            parts | std::views::transform(
                        [&graph](const path_part& part)
                        {
                            return usage(graph, part);
                        }));
        add_candidate(graph, parts, 1 / slowest, found);
    }
    return true;
}

} // namespace

std::vector<pipeline> find_cover(const stage_graph& graph)
{
    const capacity_split split = split_capacity(graph);
    if (split.flow <= 0)
    {
        return {};
    }
    candidate_list found = decompose(graph, split);
    return found.total_share() > 0 ? found.take()
                                   : allocate_greedily(graph).take();
}

std::vector<pipeline> find_candidates(const stage_graph& graph)
{
    candidate_list found;
    add_disjoint(graph, found);
    for (pipeline& candidate : find_cover(graph))
    {
        found.add(std::move(candidate));
    }
    return found.take();
}

std::vector<pipeline> find_local_candidates(const stage_graph& graph)
{
    candidate_list found;
    for (std::uint32_t zone = 0; zone < graph.zones.size(); ++zone)
    {
        stage_graph local = graph;
        std::erase_if(
            local.engines,
            [zone](const graph_engine& holder)
            {
                return holder.zone != zone;
            });
        find_boundaries(local);
        if (add_aligned(local, found))
        {
            continue;
        }
        for (pipeline& candidate : find_candidates(local))
        {
            found.add(std::move(candidate));
        }
    }
    if (found.total_share() <= 0)
    {
        add_disjoint(graph, found);
    }
    std::vector<pipeline> candidates = found.take();
    std::erase_if(
        candidates,
        [](const pipeline& candidate)
        {
            return candidate.stages.size() > max_stages;
        });
    return candidates;
}

pipeline find_cheapest(const stage_graph& graph)
{
    return make_pipeline(
        graph, cheapest_path(graph, whole_model(graph), plain_costs(graph)));
}

} // namespace fireflysail
