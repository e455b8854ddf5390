#include "routing/choice.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// A token that arrives at an engine waits on average for half of the step in
/// progress.
constexpr double step_wait_factor = 0.5;

/// Utilization above which an engine is treated as saturated.
constexpr double saturation_utilization = 0.9;

/// Number of prompt tokens that a stage processes before the next stage can
/// start.
constexpr std::uint32_t prefill_chunk = 128;

/// Learned times are used only if they are recent and come from enough samples
/// to be significant.
constexpr duration learned_lifetime = 5s;
constexpr std::uint32_t min_samples = 8;
constexpr double max_correction = 10;

double nanoseconds(duration time)
{
    return std::chrono::duration<double, std::nano>{time}.count();
}

duration from_nanoseconds(double time)
{
    return duration{static_cast<duration::rep>(time)};
}

/// Streams that the engine runs at once without preempting one of them.
double capacity_of(const engine_load& load)
{
    constexpr double default_slots = 32;
    const double slots = load.slots > 0 ? load.slots : default_slots;
    return load.fitting_streams > 0 ? std::min(slots, load.fitting_streams)
                                    : slots;
}

struct stage_estimate
{
    /// Time of a token on the stage, as a multiple of the planned step time.
    double slowdown = 1;
    /// Time of a token on the stage plus the delay that it adds to the other
    /// streams, as a multiple of the planned step time.
    double marginal = 1;
    /// Streams beyond the slots, as a fraction of the slots.
    double queue_ratio = 0;
    double prefill_ns = 0;
    duration age{};
};

/// Step time reported by the engine, scaled to the layers of the stage.
double reported_step(const stage& part, const engine_load& load)
{
    if (load.step_time <= duration::zero() || part.layers_held == 0)
    {
        return nanoseconds(part.step_time);
    }
    return nanoseconds(load.step_time) * part.layers.size() / part.layers_held;
}

/// Factor by which the engine was slower than it reports. Never below 1: a
/// faster engine gets no credit, because a single favourable sample would
/// attract too many requests.
double learned_correction(
    const stage& part, double reported_step_with_wait, const load_view& view)
{
    const learned_service learned = view.times.learned(part);
    const bool fresh = learned.samples >= min_samples &&
                       view.now - learned.last_sample < learned_lifetime;
    if (!fresh || reported_step_with_wait <= 0)
    {
        return 1;
    }
    const double observed_ns =
        nanoseconds(learned.layer_time) * part.layers.size();
    return std::clamp(
        observed_ns / reported_step_with_wait, 1.0, max_correction);
}

/// Ratio of the step time under load to the idle step time. It is derived from
/// the number of streams, which is more stable than the reported step time:
/// that one changes with every prompt.
double inflation_of(double utilization)
{
    if (utilization <= saturation_utilization)
    {
        return 1 / (1 - utilization);
    }
    // Continues along the tangent, so that the factor stays finite and still
    // increases when the engine is saturated.
    constexpr double left = 1 - saturation_utilization;
    return 1 / left + (utilization - saturation_utilization) / (left * left);
}

/// Time that each stream adds to a step of the engine, relative to the step of
/// an empty batch; zero while unknown.
double step_growth(const engine_load& load)
{
    return load.step_time > duration::zero()
               ? nanoseconds(load.step_time_per_stream) /
                     nanoseconds(load.step_time)
               : 0;
}

/// Every stream of a pipeline passes through all of its stages, but only the
/// first one reports their number.
double streams_on(const pipeline& candidate, const load_view& view)
{
    double most = 0;
    for (const stage& part : candidate.stages)
    {
        most = std::max(most, view.loads.load(part).streams);
    }
    return most;
}

/// Streams on a stage of a pipeline with `pipeline_streams`. The number that an
/// engine with a load report states is its own.
double streams_at(const engine_load& load, double pipeline_streams)
{
    return step_growth(load) > 0 ? std::max(load.streams, pipeline_streams)
                                 : load.streams;
}

/// Effect of the load of a stage on its steps, as multiples of the planned step
/// time.
struct congestion
{
    /// Time of a token.
    double step = 1;
    /// Time of a token plus the delay that it adds to the other streams.
    double marginal = 1;
};

congestion estimate_congestion(const engine_load& load, double streams)
{
    if (const double growth = step_growth(load); growth > 0)
    {
        return {1 + streams * growth, 1 + 2 * streams * growth};
    }
    const double inflation = inflation_of(load.utilization);
    return {inflation, inflation * inflation};
}

stage_estimate estimate_stage(
    const stage& part, double pipeline_streams, const load_view& view)
{
    const engine_load load = view.loads.load(part);
    const double streams = streams_at(load, pipeline_streams);
    const double slots = capacity_of(load);
    const double reported = reported_step(part, load);
    const double step_with_wait = reported * (1 + step_wait_factor);
    stage_estimate estimate;
    const congestion loaded = estimate_congestion(load, streams);
    const double correction = learned_correction(part, step_with_wait, view);
    estimate.slowdown = loaded.step * correction * (1 + step_wait_factor);
    estimate.marginal =
        loaded.marginal * correction * correction * (1 + step_wait_factor);
    estimate.age = load.age;
    estimate.queue_ratio = std::max(0.0, streams + 1 - slots) / slots;
    estimate.prefill_ns =
        load.prefill_time_per_token > duration::zero() && part.layers_held > 0
            ? nanoseconds(load.prefill_time_per_token) * part.layers.size() /
                  part.layers_held
            : nanoseconds(part.prefill_time_per_token);
    return estimate;
}

double prefill_time(double slowest, double all, double tokens)
{
    const double first_chunk = std::min<double>(tokens, prefill_chunk);
    return slowest * tokens + (all - slowest) * first_chunk;
}

} // namespace

duration completion_estimate::first_token() const
{
    return this->queue + this->prefill + this->each_token;
}

duration completion_estimate::total(std::uint32_t output_tokens) const
{
    return this->queue + this->prefill + this->each_token * output_tokens;
}

duration completion_estimate::marginal_cost(std::uint32_t output_tokens) const
{
    return this->queue + this->prefill + this->marginal_token * output_tokens;
}

double expected_fill(const pipeline& candidate, const load_view& view)
{
    const double pipeline_streams = streams_on(candidate, view);
    double most = 0;
    for (const stage& part : candidate.stages)
    {
        const engine_load load = view.loads.load(part);
        const double streams = streams_at(load, pipeline_streams) + 1;
        // Only the first engine holds a slot for each stream.
        const bool is_first = &part == &candidate.stages.front();
        const double capacity =
            view.has_fleet_streams && !is_first && load.fitting_streams > 0
                ? load.fitting_streams
                : capacity_of(load);
        most = std::max(most, streams / std::max(1.0, capacity));
    }
    return most;
}

double expected_slowdown(const stage& part, const load_view& view)
{
    return estimate_stage(part, 0, view).slowdown;
}

completion_estimate estimate_completion(
    const pipeline& candidate,
    const route_request& request,
    const load_view& view)
{
    double token = 0;
    double marginal = 0;
    double queue_ratio = 0;
    duration age = never_measured;
    double slowest_prefill = 0;
    double all_prefill = 0;
    const double streams = streams_on(candidate, view);
    for (const stage& part : candidate.stages)
    {
        const stage_estimate estimate = estimate_stage(part, streams, view);
        const double step = nanoseconds(part.step_time) * estimate.slowdown;
        token += step + nanoseconds(part.link_to_next);
        marginal += nanoseconds(part.step_time) * estimate.marginal +
                    nanoseconds(part.link_to_next);
        queue_ratio = std::max(queue_ratio, estimate.queue_ratio);
        if (estimate.age != never_measured)
        {
            age = std::max(
                age == never_measured ? duration{} : age, estimate.age);
        }
        slowest_prefill = std::max(slowest_prefill, estimate.prefill_ns);
        all_prefill += estimate.prefill_ns;
    }
    const bool cached = request.prefix != 0 &&
                        view.prefixes.likely_cached(request.prefix, candidate);
    const std::uint32_t cached_tokens =
        cached ? std::min(request.prefix_tokens, request.prompt_tokens) : 0;
    completion_estimate estimate;
    estimate.queue =
        from_nanoseconds(queue_ratio * token * request.expected_output_tokens);
    estimate.prefill = from_nanoseconds(prefill_time(
        slowest_prefill, all_prefill, request.prompt_tokens - cached_tokens));
    estimate.load_age = age;
    estimate.each_token = from_nanoseconds(token);
    estimate.marginal_token = from_nanoseconds(marginal);
    return estimate;
}

} // namespace fireflysail
