#include "routing/choice.hpp"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace fireflysail
{

namespace
{

constexpr std::size_t sample_count = 4;

/// Bounds the time of a choice.
constexpr std::size_t max_considered = 256;

/// Options kept without an allocation; more than a model usually has disjoint
/// pipelines.
constexpr std::size_t inline_options = 32;

/// Exponent on the costs of the sampled candidates, in proportion to the
/// duration of a stream over the age of the load reports. With a larger
/// exponent all instances together overload the cheapest engines before the
/// next reports show the effect.
constexpr double exponent_per_turnover = 0.3;
constexpr double min_cost_exponent = 0.5;
constexpr double max_cost_exponent = 16;

/// Full pipelines whose fill differs by less than this factor are taken for
/// equally full.
constexpr double equal_fill = 1.05;

/// An engine on probation is considered in one of this many draws.
constexpr std::uint64_t probation_draw_interval = 8;

/// A pipeline is chosen by prefix affinity only while its fill is at most this
/// factor of the mean over the sampled candidates.
constexpr double affinity_load_bound = 1.25;

/// Shorter prefixes, relative to the prompt, save less prefill than the uneven
/// load of affinity costs.
constexpr double min_affinity_fraction = 0.25;

/// A stage whose KV cache is full preempts its streams, so pipelines are
/// weighted by this power of their free KV cache. A full pipeline keeps a small
/// weight, so that it still serves when all others are full too.
constexpr double free_cache_exponent = 2;
constexpr double min_free_cache = 0.05;

using slot_list = absl::InlinedVector<engine_slot, 8>;

slot_list slots_of(const route_table& table, std::span<const server_id> servers)
{
    slot_list slots;
    for (const server_id& server : servers)
    {
        if (const auto slot = table.slot_of(server))
        {
            slots.push_back(*slot);
        }
    }
    return slots;
}

/// Free fraction of the KV cache of a pipeline, determined by its fullest
/// stage. Only the first stage reports how many streams it runs; all of them
/// pass through the other stages too.
double free_cache_of(const pipeline& candidate, const load_view& view)
{
    double fitting = std::numeric_limits<double>::infinity();
    double streams = 0;
    for (const stage& part : candidate.stages)
    {
        const engine_load load = view.loads.load(part);
        streams = std::max(streams, load.streams);
        if (load.fitting_streams > 0)
        {
            fitting = std::min(fitting, load.fitting_streams);
        }
    }
    return std::clamp(1 - streams / fitting, min_free_cache, 1.0);
}

/// Makes one choice among the candidates of a set.
class chooser
{
public:
    chooser(
        const route_set& set,
        const route_request& request,
        const slot_list& excluded,
        const load_view& view,
        std::mt19937_64& random)
        : set{set}
        , request{request}
        , excluded{excluded}
        , view{view}
        , random{random}
    {
    }

    std::optional<chosen_pipeline> run()
    {
        if (this->considers_all())
        {
            this->consider_each();
        }
        else
        {
            for (std::size_t i = 0; i < sample_count; ++i)
            {
                this->consider(this->draw(), 1);
            }
        }
        if (this->options.empty())
        {
            this->consider_all();
        }
        if (this->options.empty())
        {
            return std::nullopt;
        }
        this->drop_full();
        chosen_pipeline best = this->pick();
        if (this->has_long_prefix())
        {
            this->prefer_affine(best);
        }
        return best;
    }

private:
    struct option
    {
        chosen_pipeline choice;
        /// Weight before cost and free KV cache are taken into account.
        double prior = 1;
        /// See expected_fill().
        double fill = 0;
        double cost = 0;
        double weight = 0;
    };

    /// Where engines are shared, a few draws often miss the pipelines with room
    /// that current loads show.
    bool considers_all() const
    {
        return this->set.are_disjoint ||
               (this->view.has_fleet_streams &&
                this->set.candidates.size() <= max_considered);
    }

    bool has_long_prefix() const
    {
        return this->request.prefix != 0 &&
               this->request.prefix_tokens >=
                   min_affinity_fraction * this->request.prompt_tokens;
    }

    double uniform()
    {
        return std::uniform_real_distribution{}(this->random);
    }

    const pipeline& draw()
    {
        const double point = this->uniform() * this->set.total_share();
        const auto found =
            std::ranges::upper_bound(this->set.cumulative_share, point);
        const auto index = std::min<std::ptrdiff_t>(
            found - this->set.cumulative_share.begin(),
            std::ssize(this->set.candidates) - 1);
        return this->set.candidates[static_cast<std::size_t>(index)];
    }

    bool allowed(const pipeline& candidate) const
    {
        return std::ranges::none_of(
            candidate.stages,
            [&](const stage& part)
            {
                return std::ranges::find(this->excluded, part.slot) !=
                       this->excluded.end();
            });
    }

    bool in_service(const pipeline& candidate)
    {
        return std::ranges::all_of(
            candidate.stages,
            [&](const stage& part)
            {
                const service_state state = this->view.states.get(part.slot);
                return state == service_state::in_service ||
                       (state == service_state::on_probation &&
                        this->random() % probation_draw_interval == 0);
            });
    }

    /// A few samples of a small set would often miss the only pipelines that
    /// have room.
    void consider_each()
    {
        for (const pipeline& candidate : this->set.candidates)
        {
            this->consider(candidate, candidate.share);
        }
    }

    void consider(const pipeline& candidate, double prior)
    {
        if (!this->allowed(candidate) || !this->in_service(candidate))
        {
            return;
        }
        this->add_option(candidate, prior);
    }

    void add_option(const pipeline& candidate, double prior)
    {
        const completion_estimate expected =
            estimate_completion(candidate, this->request, this->view);
        const double fill = expected_fill(candidate, this->view);
        this->fill_sum += fill;
        ++this->considered;
        const duration cost =
            expected.marginal_cost(this->request.expected_output_tokens);
        this->options.push_back(
            {{&candidate, expected},
             prior,
             fill,
             static_cast<double>(cost.count()),
             0});
    }

    /// A stream that finds the KV cache full waits for others to end, or
    /// preempts one of them. No difference in speed makes up for that.
    void drop_full()
    {
        double limit = 1;
        const double least =
            std::ranges::min(this->options, {}, &option::fill).fill;
        if (least > limit)
        {
            if (!this->view.has_fleet_streams)
            {
                return;
            }
            // By cost alone, all would queue at the fastest pipelines.
            limit = least * equal_fill;
        }
        const auto full = std::remove_if(
            this->options.begin(),
            this->options.end(),
            [limit](const option& each)
            {
                return each.fill > limit;
            });
        this->options.erase(full, this->options.end());
    }

    double cost_exponent() const
    {
        const completion_estimate& expected =
            this->options.front().choice.expected;
        const duration stay =
            expected.total(this->request.expected_output_tokens);
        const duration age = std::max(expected.load_age, duration{1});
        const double turnover = static_cast<double>(stay.count()) /
                                static_cast<double>(age.count());
        return std::clamp(
            turnover * exponent_per_turnover,
            min_cost_exponent,
            max_cost_exponent);
    }

    /// Picks one of the options at random, weighted by cost and free KV cache.
    chosen_pipeline pick()
    {
        const double exponent = this->cost_exponent();
        const double least =
            std::ranges::min(this->options, {}, &option::cost).cost;
        double sum = 0;
        for (option& each : this->options)
        {
            each.weight =
                each.prior *
                std::pow(
                    std::max(1.0, least) / std::max(1.0, each.cost), exponent) *
                std::pow(
                    free_cache_of(*each.choice.route, this->view),
                    free_cache_exponent);
            sum += each.weight;
        }
        double point = this->uniform() * sum;
        for (const option& each : this->options)
        {
            point -= each.weight;
            if (point <= 0)
            {
                return each.choice;
            }
        }
        return this->options.back().choice;
    }

    /// Fallback when none of the samples is usable: scans all candidates from a
    /// random position. Uses ejected engines when there are no others.
    void consider_all()
    {
        const std::size_t count = this->set.candidates.size();
        const std::size_t start = this->random() % count;
        const pipeline* last_resort = nullptr;
        for (std::size_t i = 0;
             i < count && this->options.size() < sample_count;
             ++i)
        {
            const pipeline& candidate =
                this->set.candidates[(start + i) % count];
            if (!this->allowed(candidate))
            {
                continue;
            }
            last_resort = &candidate;
            this->consider(candidate, 1);
        }
        if (this->options.empty() && last_resort != nullptr)
        {
            this->add_option(*last_resort, 1);
        }
    }

    /// Replaces `best` by one of the two pipelines with the highest affinity to
    /// the prefix, unless both are overloaded. Every entry instance computes
    /// the same two.
    void prefer_affine(chosen_pipeline& best)
    {
        std::array<const pipeline*, 2> affine_pipelines{};
        std::array<std::uint64_t, 2> weights{};
        for (const pipeline& candidate : this->set.candidates)
        {
            const std::uint64_t weight =
                prefix_affinity::weight(this->request.prefix, candidate);
            if (weight <= weights[1] || !this->allowed(candidate) ||
                !this->in_service(candidate))
            {
                continue;
            }
            affine_pipelines[1] = &candidate;
            weights[1] = weight;
            if (weights[1] > weights[0])
            {
                std::swap(affine_pipelines[0], affine_pipelines[1]);
                std::swap(weights[0], weights[1]);
            }
        }
        const double mean_fill =
            this->fill_sum / static_cast<double>(this->considered);
        for (const pipeline* affine : affine_pipelines)
        {
            if (affine != nullptr && expected_fill(*affine, this->view) <=
                                         affinity_load_bound * mean_fill)
            {
                best = {
                    affine,
                    estimate_completion(*affine, this->request, this->view)};
                return;
            }
        }
    }

    const route_set& set;
    const route_request& request;
    const slot_list& excluded;
    const load_view& view;
    std::mt19937_64& random;
    absl::InlinedVector<option, inline_options> options;
    double fill_sum = 0;
    std::size_t considered = 0;
};

/// Finds the set of the requested version, or of a version drawn in proportion
/// to capacity.
const route_set* find_set(
    const route_table& table,
    const route_request& request,
    std::mt19937_64& random)
{
    if (request.version)
    {
        return table.find({request.model, *request.version, request.adapter});
    }
    const auto known = table.versions.find(request.model);
    if (known == table.versions.end())
    {
        return nullptr;
    }
    absl::InlinedVector<const route_set*, 4> usable;
    double total = 0;
    for (const route_set_pointer& set : known->second)
    {
        const route_set* found =
            request.adapter.empty()
                ? set.get()
                : table.find(
                      {request.model, set->key.version, request.adapter});
        if (found != nullptr && !found->candidates.empty())
        {
            usable.push_back(found);
            total += found->total_share();
        }
    }
    double point = std::uniform_real_distribution{0.0, 1.0}(random)*total;
    for (const route_set* set : usable)
    {
        point -= set->total_share();
        if (point <= 0)
        {
            return set;
        }
    }
    return usable.empty() ? nullptr : usable.back();
}

bool knows(const route_table& table, const model_id& model)
{
    return std::ranges::any_of(
        table.sets,
        [&](const auto& entry)
        {
            return entry.first.model == model;
        });
}

} // namespace

routing_choice choose_pipeline(
    const route_table& table,
    const route_request& request,
    const load_view& view,
    std::mt19937_64& random)
{
    const route_set* set = find_set(table, request, random);
    if (set == nullptr || set->candidates.empty())
    {
        return knows(table, request.model) ? no_route::not_covered
                                           : no_route::unknown_model;
    }
    const slot_list excluded = slots_of(table, request.excluded);
    const auto chosen = chooser{*set, request, excluded, view, random}.run();
    if (!chosen)
    {
        return no_route::all_excluded;
    }
    return *chosen;
}

} // namespace fireflysail
