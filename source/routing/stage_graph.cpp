#include "routing/stage_graph.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <queue>
#include <utility>

namespace fireflysail
{

namespace
{

/// Fixed cost of passing a token to another engine, in addition to the link
/// delay. Makes one engine preferable to two with the same total step time.
constexpr double change_cost_ns = 100'000;

constexpr double unreachable = std::numeric_limits<double>::infinity();
constexpr std::size_t no_engine = std::numeric_limits<std::size_t>::max();

/// Forbids an engine in the segments [first, last); a branch of the search for
/// paths without repeated engines.
struct ban
{
    std::size_t first = 0;
    std::size_t last = 0;
    engine_slot engine;
    /// Forbids every engine except `engine`, instead of `engine`.
    bool all_others = false;

    bool forbids(engine_slot used, std::size_t segment) const
    {
        const bool inside = segment >= this->first && segment < this->last;
        return inside && (used == this->engine) != this->all_others;
    }
};

struct weighted_path
{
    std::vector<path_part> parts;
    double cost = unreachable;
};

double nanoseconds(duration time)
{
    return std::chrono::duration<double, std::nano>{time}.count();
}

/// Dynamic programming over the boundaries from left to right. The state at a
/// boundary is the engine that runs the segment before it.
class path_search
{
public:
    path_search(
        const stage_graph& graph,
        const path_ends& ends,
        const path_costs& costs,
        const std::vector<ban>& bans)
        : graph{graph}
        , ends{ends}
        , costs{costs}
        , bans{bans}
        , step_ns(graph.engines.size())
        , reach(graph.engines.size(), unreachable)
        , next(graph.engines.size())
        , entry(graph.zones.size())
        , exit(graph.zones.size())
        , came_from((ends.last - ends.first) * graph.engines.size())
    {
        for (std::size_t e = 0; e < graph.engines.size(); ++e)
        {
            this->step_ns[e] =
                nanoseconds(graph.engines[e].layer_time) * costs.weights[e];
        }
    }

    weighted_path run()
    {
        for (std::size_t s = this->ends.first; s < this->ends.last; ++s)
        {
            this->advance(s);
        }
        return this->trace();
    }

private:
    struct handover
    {
        double cost = unreachable;
        std::size_t engine = no_engine;
    };

    bool usable(std::size_t engine, std::size_t segment) const
    {
        const std::size_t cell = engine * this->graph.segments() + segment;
        return (this->costs.blocked.empty() || !this->costs.blocked[cell]) &&
               std::ranges::none_of(
                   this->bans,
                   [&](const ban& rule)
                   {
                       return rule.forbids(
                           this->graph.engines[engine].slot, segment);
                   });
    }

    /// Computes the cheapest handover to each zone at the start of `segment`.
    void enter(std::size_t segment)
    {
        for (std::uint32_t zone = 0; zone < this->entry.size(); ++zone)
        {
            handover& cheapest = this->entry[zone];
            cheapest = {};
            if (segment == this->ends.first)
            {
                cheapest.cost = this->ends.zone_before
                                    ? nanoseconds(this->graph.link(
                                          *this->ends.zone_before, zone))
                                    : 0;
                continue;
            }
            for (std::uint32_t from = 0; from < this->entry.size(); ++from)
            {
                const double cost = this->exit[from].cost + change_cost_ns +
                                    nanoseconds(this->graph.link(from, zone));
                if (cost < cheapest.cost)
                {
                    cheapest = {cost, this->exit[from].engine};
                }
            }
        }
    }

    void advance(std::size_t segment)
    {
        this->enter(segment);
        const double layers = static_cast<double>(
            this->graph.boundaries[segment + 1] -
            this->graph.boundaries[segment]);
        std::ranges::fill(this->next, unreachable);
        std::ranges::fill(this->exit, handover{});
        std::size_t* from =
            &this->came_from[(segment - this->ends.first) * this->next.size()];
        for (const std::size_t e : this->graph.holders[segment])
        {
            if (this->step_ns[e] == unreachable || !this->usable(e, segment))
            {
                continue;
            }
            const std::uint32_t zone = this->graph.engines[e].zone;
            const handover& handed = this->entry[zone];
            const bool stays = this->reach[e] <= handed.cost;
            const double before = stays ? this->reach[e] : handed.cost;
            from[e] = stays || handed.engine == no_engine ? e : handed.engine;
            this->next[e] = before + layers * this->step_ns[e];
            if (this->next[e] < this->exit[zone].cost)
            {
                this->exit[zone] = {this->next[e], e};
            }
        }
        std::swap(this->reach, this->next);
    }

    double total_cost(std::size_t last_engine) const
    {
        const double reached = this->reach[last_engine];
        if (!this->ends.zone_after)
        {
            return reached;
        }
        return reached + nanoseconds(this->graph.link(
                             this->graph.engines[last_engine].zone,
                             *this->ends.zone_after));
    }

    weighted_path trace() const
    {
        weighted_path found;
        std::size_t engine = no_engine;
        for (std::size_t e = 0; e < this->reach.size(); ++e)
        {
            if (this->total_cost(e) < found.cost)
            {
                found.cost = this->total_cost(e);
                engine = e;
            }
        }
        if (engine == no_engine)
        {
            return found;
        }
        for (std::size_t s = this->ends.last; s-- > this->ends.first;)
        {
            if (found.parts.empty() || found.parts.back().engine != engine)
            {
                found.parts.push_back({engine, s, s + 1});
            }
            found.parts.back().first = s;
            engine = this->came_from
                         [(s - this->ends.first) * this->reach.size() + engine];
        }
        std::ranges::reverse(found.parts);
        return found;
    }

    const stage_graph& graph;
    const path_ends& ends;
    const path_costs& costs;
    const std::vector<ban>& bans;
    std::vector<double> step_ns;
    /// By engine: cost of the cheapest path through the segment processed last
    /// that ends on it.
    std::vector<double> reach;
    std::vector<double> next;
    /// By zone: the cheapest handover into the segment, and out of it.
    std::vector<handover> entry;
    std::vector<handover> exit;
    /// By segment and engine: the engine of the previous segment.
    std::vector<std::size_t> came_from;
};

/// Finds the first two parts that use the same engine, if any. Engines are
/// compared by slot, as one with several holdings is in the graph several
/// times.
std::optional<std::pair<path_part, path_part>>
find_repetition(const stage_graph& graph, const std::vector<path_part>& parts)
{
    for (auto later = parts.begin(); later != parts.end(); ++later)
    {
        const auto earlier = std::find_if(
            parts.begin(),
            later,
            [&](const path_part& part)
            {
                return graph.engines[part.engine].slot ==
                       graph.engines[later->engine].slot;
            });
        if (earlier != later)
        {
            return std::pair{*earlier, *later};
        }
    }
    return std::nullopt;
}

/// The cheapest path that respects a list of bans.
struct search_node
{
    weighted_path path;
    std::vector<ban> bans;

    bool operator<(const search_node& other) const
    {
        return this->path.cost > other.path.cost;
    }
};

/// Bans for the three ways to repair a repetition: without the later visit,
/// without the earlier one, or with one visit that spans all segments between.
std::vector<ban> repair_bans(
    const stage_graph& graph, const path_part& earlier, const path_part& later)
{
    const engine_slot engine = graph.engines[earlier.engine].slot;
    return {
        {later.first, later.last, engine},
        {earlier.first, earlier.last, engine},
        {earlier.last, later.first, engine, true}};
}

/// Best-first branch and bound: a path with a repetition costs no more than any
/// of its repairs, so the first path without one is the cheapest.
std::vector<path_part> search_without_repetition(
    const stage_graph& graph, const path_ends& ends, const path_costs& costs)
{
    std::priority_queue<search_node> open;
    const auto search = [&](std::vector<ban> bans)
    {
        weighted_path found = path_search{graph, ends, costs, bans}.run();
        if (!found.parts.empty())
        {
            open.push({std::move(found), std::move(bans)});
        }
    };
    search({});
    for (int repairs = 0; !open.empty(); ++repairs)
    {
        const search_node node = open.top();
        open.pop();
        const auto repetition = find_repetition(graph, node.path.parts);
        if (!repetition)
        {
            return node.path.parts;
        }
        if (repairs == costs.repairs)
        {
            return {};
        }
        for (const ban& rule :
             repair_bans(graph, repetition->first, repetition->second))
        {
            std::vector<ban> bans = node.bans;
            bans.push_back(rule);
            search(std::move(bans));
        }
    }
    return {};
}

} // namespace

std::size_t stage_graph::segments() const
{
    return this->boundaries.empty() ? 0 : this->boundaries.size() - 1;
}

duration stage_graph::link(std::uint32_t from_zone, std::uint32_t to_zone) const
{
    return this->links[std::size_t{from_zone} * this->zones.size() + to_zone];
}

void find_boundaries(stage_graph& graph)
{
    graph.boundaries = graph.extra_boundaries;
    graph.boundaries.push_back(0);
    graph.boundaries.push_back(graph.layers);
    for (const graph_engine& holder : graph.engines)
    {
        graph.boundaries.push_back(holder.layers.first.value());
        graph.boundaries.push_back(holder.layers.last.value());
    }
    std::ranges::sort(graph.boundaries);
    const auto repeated = std::ranges::unique(graph.boundaries);
    graph.boundaries.erase(repeated.begin(), repeated.end());
    graph.holders.assign(graph.segments(), {});
    for (std::size_t e = 0; e < graph.engines.size(); ++e)
    {
        const layer_range& layers = graph.engines[e].layers;
        for (std::size_t s = 0; s < graph.segments(); ++s)
        {
            if (layers.first.value() <= graph.boundaries[s] &&
                graph.boundaries[s + 1] <= layers.last.value())
            {
                graph.holders[s].push_back(e);
            }
        }
    }
}

std::vector<path_part> cheapest_path(
    const stage_graph& graph, const path_ends& ends, const path_costs& costs)
{
    return search_without_repetition(graph, ends, costs);
}

stage make_stage(const stage_graph& graph, const path_part& part)
{
    const graph_engine& holder = graph.engines[part.engine];
    const layer_range layers{
        layer_index{graph.boundaries[part.first]},
        layer_index{graph.boundaries[part.last]}};
    stage made;
    made.server = holder.server;
    made.layers = layers;
    made.slot = holder.slot;
    made.server_key = holder.server_key;
    made.layers_held = holder.layers.size();
    made.step_time = holder.layer_time * layers.size();
    made.prefill_time_per_token =
        holder.prefill_time_per_token_layer * layers.size();
    return made;
}

pipeline
make_pipeline(const stage_graph& graph, const std::vector<path_part>& parts)
{
    pipeline made;
    made.model = graph.model;
    made.version = graph.version;
    made.adapter = graph.adapter;
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        const path_part& next = parts[(i + 1) % parts.size()];
        made.stages.push_back(make_stage(graph, parts[i]));
        made.stages.back().link_to_next = graph.link(
            graph.engines[parts[i].engine].zone,
            graph.engines[next.engine].zone);
    }
    summarize(made);
    return made;
}

} // namespace fireflysail
