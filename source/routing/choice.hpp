#pragma once

#include "routing/ejection.hpp"
#include "routing/load_tracker.hpp"
#include "routing/prefix_affinity.hpp"
#include "routing/route_table.hpp"
#include "routing/service_times.hpp"

#include <optional>
#include <random>
#include <span>
#include <variant>

namespace fireflysail
{

/// Properties of a request that determine the choice of its pipeline.
struct route_request
{
    model_id model;
    /// Restricts the choice to this version. When absent, a version is drawn in
    /// proportion to capacity.
    std::optional<model_version> version;
    /// Empty when no adapter is needed.
    adapter_id adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0;
    /// Hash of the shared prompt prefix; 0 when there is none.
    std::uint64_t prefix = 0;
    std::uint32_t prefix_tokens = 0;
    /// Backend servers that must not be used by this request.
    std::span<const server_id> excluded;
};

/// State of the engines at the time of the choice.
struct load_view
{
    const load_tracker& loads;
    const service_times& times;
    const service_states& states;
    const prefix_affinity& prefixes;
    time_point now;
    /// The loads count the streams of all instances, not only as of the last
    /// answer of each engine.
    bool has_fleet_streams = false;
};

/// Expected times of a request on one pipeline.
struct completion_estimate
{
    duration queue{};
    duration prefill{};
    duration each_token{};
    /// Time per token plus the delay that it adds to all other streams. In a
    /// shared queue, that is the time multiplied once more by the inflation.
    duration marginal_token{};
    /// Age of the oldest load report behind the estimate; `never_measured` if
    /// there is none.
    duration load_age{};

    duration first_token() const;
    duration total(std::uint32_t output_tokens) const;
    duration marginal_cost(std::uint32_t output_tokens) const;
};

enum class no_route
{
    unknown_model,
    /// The engines do not cover all layers of the version (with the adapter).
    not_covered,
    /// Every pipeline has an excluded backend server.
    all_excluded,
};

struct chosen_pipeline
{
    /// Valid as long as the route table.
    const pipeline* route = nullptr;
    completion_estimate expected;
};

using routing_choice = std::variant<chosen_pipeline, no_route>;

/// Queueing + prefill of uncached tokens + tokens x step time. Load reports
/// lag, so they are corrected by the work that this instance has sent since.
completion_estimate estimate_completion(
    const pipeline& candidate,
    const route_request& request,
    const load_view& view);

/// Fraction of its slots, or of its KV cache if that is less, that the fullest
/// stage would use with one more stream.
double expected_fill(const pipeline& candidate, const load_view& view);

/// Streams that the pipeline runs at once without preempting one of them.
double stream_capacity_of(const pipeline& candidate, const load_tracker& loads);

/// Expected step time on the stage, including the wait for the step in
/// progress, as a factor of the planned step time.
double expected_slowdown(const stage& part, const load_view& view);

/// Samples a few candidates in proportion to their planned shares, or takes all
/// of them if they are disjoint, and picks one at random, preferring low
/// marginal costs. A pipeline with affinity
/// to the prefix is taken instead unless its load exceeds that of the samples.
/// Takes no lock and allocates nothing for up to 8 excluded servers and 32
/// disjoint candidates.
routing_choice choose_pipeline(
    const route_table& table,
    const route_request& request,
    const load_view& view,
    std::mt19937_64& random);

} // namespace fireflysail
