#include "routing/replacement.hpp"

#include "common/invariant.hpp"

#include <algorithm>
#include <limits>

namespace fireflysail
{

namespace
{

/// Maximum random increase of the expected step time, relative to it. Spreads
/// streams over engines of similar speed.
constexpr double max_noise = 0.5;

constexpr double unusable = std::numeric_limits<double>::infinity();

/// Plans replacements for the lost stages between the kept ones.
class replacement_planner
{
public:
    replacement_planner(
        const route_set& set,
        const pipeline& previous,
        std::span<const server_id> lost,
        const load_view& view,
        std::mt19937_64& random)
        : graph{set.graph}
        , previous{previous}
        , lost{lost}
        , view{view}
        , random{random}
    {
        // Ranges of the other engines need not begin or end where the lost ones
        // did.
        for (const stage& part : previous.stages)
        {
            this->graph.extra_boundaries.push_back(part.layers.first.value());
        }
        find_boundaries(this->graph);
        this->set_weights();
    }

    std::optional<replacement> run()
    {
        const auto& stages = this->previous.stages;
        for (std::size_t i = 0; i < stages.size();)
        {
            if (!this->is_lost(stages[i]))
            {
                this->keep(stages[i]);
                ++i;
                continue;
            }
            std::size_t end = i;
            while (end < stages.size() && this->is_lost(stages[end]))
            {
                ++end;
            }
            if (!this->fill_gap(i, end))
            {
                return std::nullopt;
            }
            i = end;
        }
        return this->finish();
    }

private:
    bool is_lost(const stage& part) const
    {
        return std::ranges::find(this->lost, part.server) != this->lost.end();
    }

    void set_weights()
    {
        std::uniform_real_distribution<double> noise{1.0, 1.0 + max_noise};
        for (const graph_engine& holder : this->graph.engines)
        {
            const bool used = std::ranges::any_of(
                this->previous.stages,
                [&](const stage& part)
                {
                    return part.slot == holder.slot;
                });
            const bool gone = std::ranges::find(this->lost, holder.server) !=
                              this->lost.end();
            const bool ejected =
                this->view.states.get(holder.slot) == service_state::ejected;
            this->costs.weights.push_back(
                used || gone || ejected
                    ? unusable
                    : expected_slowdown(this->whole_stage(holder), this->view) *
                          noise(this->random));
        }
    }

    static stage whole_stage(const graph_engine& holder)
    {
        stage part;
        part.server = holder.server;
        part.layers = holder.layers;
        part.slot = holder.slot;
        part.server_key = holder.server_key;
        part.layers_held = holder.layers.size();
        part.step_time = holder.layer_time * holder.layers.size();
        return part;
    }

    void keep(const stage& part)
    {
        this->made.route.stages.push_back(part);
        this->made.kept.push_back(true);
    }

    /// Finds engines for the lost stages [first, last).
    bool fill_gap(std::size_t first, std::size_t last)
    {
        const auto& stages = this->previous.stages;
        path_ends ends;
        ends.first = this->boundary(stages[first].layers.first);
        ends.last = this->boundary(stages[last - 1].layers.last);
        if (first > 0)
        {
            ends.zone_before = this->zone_of(stages[first - 1].slot);
        }
        if (last < stages.size())
        {
            ends.zone_after = this->zone_of(stages[last].slot);
        }
        const auto parts = cheapest_path(this->graph, ends, this->costs);
        for (const path_part& part : parts)
        {
            this->made.route.stages.push_back(make_stage(this->graph, part));
            this->made.kept.push_back(false);
            this->exclude(part.engine);
        }
        return !parts.empty();
    }

    /// Excludes an engine that fills one gap from all others.
    void exclude(std::size_t engine)
    {
        const engine_slot slot = this->graph.engines[engine].slot;
        for (std::size_t e = 0; e < this->graph.engines.size(); ++e)
        {
            if (this->graph.engines[e].slot == slot)
            {
                this->costs.weights[e] = unusable;
            }
        }
    }

    std::size_t boundary(layer_index layer) const
    {
        const auto found =
            std::ranges::lower_bound(this->graph.boundaries, layer.value());
        return static_cast<std::size_t>(found - this->graph.boundaries.begin());
    }

    std::optional<std::uint32_t> zone_of(engine_slot slot) const
    {
        const auto found =
            std::ranges::find(this->graph.engines, slot, &graph_engine::slot);
        return found == this->graph.engines.end() ? std::nullopt
                                                  : std::optional{found->zone};
    }

    replacement finish()
    {
        pipeline& route = this->made.route;
        route.model = this->previous.model;
        route.version = this->previous.version;
        const std::size_t count = route.stages.size();
        for (std::size_t i = 0; i < count; ++i)
        {
            stage& part = route.stages[i];
            const auto from = this->zone_of(part.slot);
            const auto to = this->zone_of(route.stages[(i + 1) % count].slot);
            // A kept server that is leaving is not in the graph: keep its
            // delay.
            part.link_to_next =
                from && to ? this->graph.link(*from, *to) : part.link_to_next;
        }
        summarize(route);
        ensure(
            covers_exactly(route, this->graph.layers),
            "a replacement runs every layer once");
        return std::move(this->made);
    }

    stage_graph graph;
    const pipeline& previous;
    std::span<const server_id> lost;
    const load_view& view;
    std::mt19937_64& random;
    path_costs costs;
    replacement made;
};

} // namespace

std::optional<replacement> plan_replacement(
    const route_table& table,
    const pipeline& previous,
    std::span<const server_id> lost,
    const load_view& view,
    std::mt19937_64& random)
{
    const route_set* set =
        table.find({previous.model, previous.version, previous.adapter});
    if (set == nullptr)
    {
        return std::nullopt;
    }
    return replacement_planner{*set, previous, lost, view, random}.run();
}

} // namespace fireflysail
