#include "routing/planner.hpp"

#include "common/hash.hpp"
#include "common/invariant.hpp"
#include "routing/candidates.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <string_view>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Delays of links that are not configured.
constexpr duration unknown_link_in_region = 1ms;
constexpr duration unknown_link_between_regions = 30ms;

/// Defaults for accelerator kinds and engines without a load report.
constexpr duration default_layer_time = 1ms;
constexpr duration default_prefill_time_per_layer = 10us;
constexpr std::uint32_t default_slots = 32;

/// The speed of an accelerator kind is that of its fastest engine. It is
/// updated only when it improved by more than the first factor, or when the
/// fastest engine is slower by more than the second: the plan must not follow
/// the load.
constexpr double improvement_factor = 1.1;
constexpr double degradation_factor = 4;

bool may_be_stage(
    const engine& candidate, const absl::flat_hash_set<server_id>& ejected)
{
    return candidate.healthy && accepts_new_work(candidate.mark) &&
           candidate.role != server_role::prefill &&
           !ejected.contains(candidate.id);
}

duration filter_update(duration known, duration seen)
{
    const bool unknown = known <= duration::zero();
    const double change = unknown ? 1
                                  : static_cast<double>(seen.count()) /
                                        static_cast<double>(known.count());
    const bool same =
        change > 1 / improvement_factor && change < degradation_factor;
    return same && !unknown ? known : seen;
}

/// The lower of two times, where zero means unknown.
duration lower(duration a, duration b)
{
    if (a <= duration::zero() || b <= duration::zero())
    {
        return std::max(a, b);
    }
    return std::min(a, b);
}

std::vector<duration> steps_per_stream(const route_set& set)
{
    absl::flat_hash_map<engine_slot, std::pair<double, double>> sums;
    for (const pipeline& candidate : set.candidates)
    {
        for (const stage& part : candidate.stages)
        {
            auto& [time, share] = sums[part.slot];
            time +=
                candidate.share * static_cast<double>(part.step_time.count());
            share += candidate.share;
        }
    }
    std::vector<duration> steps;
    for (const graph_engine& holder : set.graph.engines)
    {
        const auto found = sums.find(holder.slot);
        const bool used = found != sums.end() && found->second.second > 0;
        steps.push_back(
            used ? duration{static_cast<duration::rep>(
                       found->second.first / found->second.second)}
                 : holder.layer_time * holder.layers.size());
    }
    return steps;
}

bool are_server_disjoint(const std::vector<pipeline>& candidates)
{
    absl::flat_hash_set<engine_slot> used;
    return std::ranges::all_of(
        candidates,
        [&used](const pipeline& candidate)
        {
            return std::ranges::all_of(
                candidate.stages,
                [&used](const stage& part)
                {
                    return used.insert(part.slot).second;
                });
        });
}

/// Whether the range is not empty and within the model; anything else is a
/// malformed report.
bool valid(const holding& held, std::uint32_t layers)
{
    return held.layers.first < held.layers.last &&
           held.layers.last.value() <= layers;
}

/// Builds the route table for one snapshot.
class route_planner
{
public:
    route_planner(
        const fleet_snapshot& fleet,
        const std::shared_ptr<const route_table>& previous,
        const absl::flat_hash_set<server_id>& ejected)
        : fleet{fleet}
        , previous{previous}
        , ejected{ejected}
    {
        for (const model_shape& model : fleet.models)
        {
            this->layers.emplace(model.id, model.layers);
            if (model.keep_in_zone)
            {
                this->local_models.insert(model.id);
            }
        }
    }

    std::shared_ptr<const route_table> run()
    {
        this->assign_slots();
        this->learn_speeds();
        this->index_zones();
        this->collect_engines();
        for (auto& [key, graph] : this->graphs)
        {
            this->plan(key, std::move(graph));
        }
        return this->unchanged() ? this->previous : this->finish();
    }

private:
    void assign_slots()
    {
        absl::flat_hash_set<engine_slot> taken;
        std::vector<const engine*> fresh;
        for (const engine& candidate : this->fleet.engines)
        {
            const auto known = this->previous
                                   ? this->previous->slot_of(candidate.id)
                                   : std::nullopt;
            if (!known)
            {
                fresh.push_back(&candidate);
                continue;
            }
            this->table.slots.emplace(candidate.id, *known);
            taken.insert(*known);
        }
        ensure(
            this->fleet.engines.size() <= max_engine_slots,
            "the fleet has at most max_engine_slots engines");
        engine_slot next =
            this->previous ? this->previous->next_slot : engine_slot{};
        for (const engine* candidate : fresh)
        {
            while (taken.contains(next))
            {
                next = engine_slot{(next.value() + 1) % max_engine_slots};
            }
            if (this->table.slots.emplace(candidate->id, next).second)
            {
                taken.insert(next);
                next = engine_slot{(next.value() + 1) % max_engine_slots};
            }
        }
        this->table.next_slot = next;
    }

    void learn_speeds()
    {
        std::map<kind_key, kind_speed> seen;
        for (const engine& candidate : this->fleet.engines)
        {
            // With several holdings it is unknown to which one the times refer.
            if (candidate.holdings.size() != 1 || !candidate.healthy)
            {
                continue;
            }
            const holding& held = candidate.holdings.front();
            const load_report& load = candidate.load;
            const std::uint32_t count = std::max(1U, held.layers.size());
            kind_speed& best = seen[{held.model, candidate.kind}];
            best.step_time = lower(best.step_time, load.step_time / count);
            best.prefill_time_per_token = lower(
                best.prefill_time_per_token,
                load.prefill_time_per_token / count);
        }
        if (this->previous)
        {
            this->table.speeds = this->previous->speeds;
        }
        for (const auto& [key, best] : seen)
        {
            kind_speed& known = this->table.speeds[key];
            if (best.step_time > duration::zero())
            {
                known.step_time =
                    filter_update(known.step_time, best.step_time);
            }
            if (best.prefill_time_per_token > duration::zero())
            {
                known.prefill_time_per_token = filter_update(
                    known.prefill_time_per_token, best.prefill_time_per_token);
            }
        }
    }

    void index_zones()
    {
        std::map<zone_id, region_id> regions;
        for (const engine& candidate : this->fleet.engines)
        {
            regions.emplace(candidate.zone, candidate.region);
        }
        std::vector<region_id> region_of;
        for (const auto& [zone, region] : regions)
        {
            this->zones.emplace(
                zone, static_cast<std::uint32_t>(region_of.size()));
            this->zone_names.push_back(zone);
            region_of.push_back(region);
        }
        const std::size_t count = region_of.size();
        this->links.assign(count * count, duration::zero());
        for (std::size_t a = 0; a < count; ++a)
        {
            for (std::size_t b = 0; b < count; ++b)
            {
                this->links[a * count + b] = a == b ? duration::zero()
                                             : region_of[a] == region_of[b]
                                                 ? unknown_link_in_region
                                                 : unknown_link_between_regions;
            }
        }
        for (const zone_link& link : this->fleet.links)
        {
            const auto a = this->zones.find(link.a);
            const auto b = this->zones.find(link.b);
            if (a != this->zones.end() && b != this->zones.end())
            {
                this->links[a->second * count + b->second] = link.delay;
                this->links[b->second * count + a->second] = link.delay;
            }
        }
    }

    void collect_engines()
    {
        for (const engine& candidate : this->fleet.engines)
        {
            if (!may_be_stage(candidate, this->ejected))
            {
                continue;
            }
            for (const holding& held : candidate.holdings)
            {
                const auto shape = this->layers.find(held.model);
                if (shape == this->layers.end() || !valid(held, shape->second))
                {
                    continue;
                }
                this->collect(candidate, held, adapter_id{});
                for (const adapter_id& adapter : held.adapters)
                {
                    this->collect(candidate, held, adapter);
                }
            }
        }
    }

    void collect(
        const engine& candidate, const holding& held, const adapter_id& adapter)
    {
        stage_graph& graph = this->graphs[{held.model, held.version, adapter}];
        graph.model = held.model;
        graph.version = held.version;
        graph.adapter = adapter;
        graph.layers = this->layers.at(held.model);
        graph_engine holder;
        holder.server = candidate.id;
        holder.slot = this->table.slots.at(candidate.id);
        holder.server_key = stable_hash(candidate.id.str());
        holder.zone = this->zones.at(candidate.zone);
        holder.layers = held.layers;
        holder.layer_time = default_layer_time;
        holder.prefill_time_per_token_layer = default_prefill_time_per_layer;
        holder.batch =
            candidate.load.slots > 0 ? candidate.load.slots : default_slots;
        const auto speed =
            this->table.speeds.find(kind_key{held.model, candidate.kind});
        if (speed != this->table.speeds.end())
        {
            const kind_speed& known = speed->second;
            if (known.step_time > duration::zero())
            {
                holder.layer_time = known.step_time;
            }
            if (known.prefill_time_per_token > duration::zero())
            {
                holder.prefill_time_per_token_layer =
                    known.prefill_time_per_token;
            }
        }
        graph.engines.push_back(std::move(holder));
    }

    void plan(const route_key& key, stage_graph graph)
    {
        std::ranges::sort(graph.engines);
        this->add_zones(graph);
        const std::uint64_t content = hash_of(graph);
        if (this->previous)
        {
            const auto known = this->previous->sets.find(key);
            if (known != this->previous->sets.end() &&
                known->second->content == content)
            {
                this->table.sets.emplace(key, known->second);
                return;
            }
        }
        auto made = std::make_shared<route_set>();
        find_boundaries(graph);
        made->key = key;
        made->content = content;
        made->candidates = this->local_models.contains(key.model)
                               ? find_local_candidates(graph)
                               : find_candidates(graph);
        made->are_disjoint = are_server_disjoint(made->candidates);
        made->graph = std::move(graph);
        made->step_per_stream = steps_per_stream(*made);
        double sum = 0;
        for (const pipeline& candidate : made->candidates)
        {
            ensure(
                covers_exactly(candidate, made->graph.layers),
                "a pipeline runs every layer once");
            sum += candidate.share;
            made->cumulative_share.push_back(sum);
        }
        this->table.sets.emplace(key, std::move(made));
    }

    /// Adds only the zones of the graph's engines, so that its content hash
    /// does not change when unrelated zones are added or removed.
    void add_zones(stage_graph& graph) const
    {
        std::vector<std::uint32_t> used;
        std::ranges::transform(
            graph.engines, std::back_inserter(used), &graph_engine::zone);
        std::ranges::sort(used);
        const auto repeated = std::ranges::unique(used);
        used.erase(repeated.begin(), repeated.end());
        for (graph_engine& holder : graph.engines)
        {
            const auto at = std::ranges::lower_bound(used, holder.zone);
            holder.zone = static_cast<std::uint32_t>(at - used.begin());
        }
        for (const std::uint32_t from : used)
        {
            graph.zones.push_back(this->zone_names[from]);
            for (const std::uint32_t to : used)
            {
                graph.links.push_back(
                    this->links[from * this->zone_names.size() + to]);
            }
        }
    }

    static std::uint64_t hash_of(const stage_graph& graph)
    {
        std::uint64_t seed = graph.layers;
        const auto mix = [&](auto number)
        {
            const std::string_view bytes{
                reinterpret_cast<const char*>(&number), sizeof number};
            seed = stable_hash(bytes, seed);
        };
        for (const graph_engine& holder : graph.engines)
        {
            mix(std::array<std::uint64_t, 8>{
                holder.server_key,
                holder.slot.value(),
                holder.zone,
                holder.layers.first.value(),
                holder.layers.last.value(),
                static_cast<std::uint64_t>(holder.layer_time.count()),
                static_cast<std::uint64_t>(
                    holder.prefill_time_per_token_layer.count()),
                holder.batch});
        }
        for (const zone_id& zone : graph.zones)
        {
            seed = stable_hash(zone.str(), seed);
        }
        for (const duration link : graph.links)
        {
            mix(link.count());
        }
        return seed;
    }

    bool unchanged() const
    {
        return this->previous && this->previous->slots == this->table.slots &&
               this->previous->sets == this->table.sets;
    }

    std::shared_ptr<const route_table> finish()
    {
        for (const auto& [key, set] : this->table.sets)
        {
            if (key.adapter.empty() && !set->candidates.empty())
            {
                this->table.versions[key.model].push_back(set);
            }
        }
        for (auto& [model, sets] : this->table.versions)
        {
            std::ranges::sort(
                sets,
                {},
                [](const route_set_pointer& set)
                {
                    return set->key.version;
                });
        }
        return std::make_shared<const route_table>(std::move(this->table));
    }

    const fleet_snapshot& fleet;
    const std::shared_ptr<const route_table>& previous;
    const absl::flat_hash_set<server_id>& ejected;
    absl::flat_hash_map<model_id, std::uint32_t> layers;
    absl::flat_hash_set<model_id> local_models;
    absl::flat_hash_map<zone_id, std::uint32_t> zones;
    std::vector<zone_id> zone_names;
    std::vector<duration> links;
    std::map<route_key, stage_graph> graphs;
    route_table table;
};

} // namespace

std::shared_ptr<const route_table> plan_routes(
    const fleet_snapshot& fleet,
    const std::shared_ptr<const route_table>& previous,
    const absl::flat_hash_set<server_id>& ejected)
{
    return route_planner{fleet, previous, ejected}.run();
}

} // namespace fireflysail
