#include "latency_bench.hpp"

#include "mixed_fleet.hpp"
#include "routing_run.hpp"

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t engine_count = 40;
constexpr double load_of_bound = 0.8;
constexpr double first_token_limit_seconds = 0.6;
constexpr double between_tokens_limit_seconds = 0.077;

constexpr std::size_t many_instances = 390;
constexpr std::size_t many_engines = 120;
constexpr double queue_limit = 2;

/// Prefixes that together overflow the prefix cache of one engine, not that
/// of all.
constexpr std::uint64_t shared_prefixes = 600;
constexpr std::uint32_t prefix_tokens = 448;

routing_figures measure(
    routing_setup setup, std::size_t engines, duration warm_up, duration time)
{
    simulation::event_loop loop;
    simulation::fake_fleet fleet{loop};
    const auto bounded = add_mixed_engines(fleet, engines, setup.seed);
    const mean_request mean = mean_of(setup.load);
    const double tokens =
        tokens_per_second_bound(bounded, mixed_fleet_layers, mean);
    setup.load.requests_per_second =
        load_of_bound * tokens / mean.output_tokens;
    routing_run run{loop, fleet, setup};
    run.warm_up(warm_up);
    return run.measure(time);
}

routing_setup with_policy(routing_setup setup, routing_policy policy)
{
    setup.policy = policy;
    return setup;
}

} // namespace

void run_latency_bench(bench_report& report, std::uint64_t seed)
{
    routing_setup setup;
    setup.seed = seed;
    const auto run = [&](routing_policy policy)
    {
        return measure(with_policy(setup, policy), engine_count, 30s, 30s);
    };
    const auto ours = run(routing_policy::expected_completion);
    const auto turns = run(routing_policy::round_robin);
    const auto lagged = run(routing_policy::least_lagged_load);
    const bound first{bound_kind::at_most, first_token_limit_seconds};
    const bound between{bound_kind::at_most, between_tokens_limit_seconds};
    report.add(
        {"first_token_p95_at_0.8.vs_round_robin",
         ours.first_token_p95_seconds,
         "s",
         turns.first_token_p95_seconds,
         first,
         seed});
    report.add(
        {"first_token_p95_at_0.8.vs_least_lagged_load",
         ours.first_token_p95_seconds,
         "s",
         lagged.first_token_p95_seconds,
         first,
         seed});
    report.add(
        {"between_tokens_p95_at_0.8.vs_round_robin",
         ours.between_tokens_p95_seconds,
         "s",
         turns.between_tokens_p95_seconds,
         between,
         seed});
    report.add(
        {"between_tokens_p95_at_0.8.vs_least_lagged_load",
         ours.between_tokens_p95_seconds,
         "s",
         lagged.between_tokens_p95_seconds,
         between,
         seed});
}

void run_herding_bench(bench_report& report, std::uint64_t seed)
{
    routing_setup setup;
    setup.seed = seed;
    setup.instances = many_instances;
    setup.report_lag = 2s;
    const auto run = [&](routing_policy policy)
    {
        return measure(with_policy(setup, policy), many_engines, 20s, 10s);
    };
    const auto ours = run(routing_policy::expected_completion);
    const auto turns = run(routing_policy::round_robin);
    const auto lagged = run(routing_policy::least_lagged_load);
    const bound limit{bound_kind::at_most, queue_limit};
    report.add(
        {"worst_queue_at_390_instances.vs_round_robin",
         ours.worst_queue_over_mean,
         "of mean",
         turns.worst_queue_over_mean,
         limit,
         seed});
    report.add(
        {"worst_queue_at_390_instances.vs_least_lagged_load",
         ours.worst_queue_over_mean,
         "of mean",
         lagged.worst_queue_over_mean,
         limit,
         seed});
    report.add(
        {"mean_queue_at_390_instances",
         ours.mean_queue,
         "streams",
         turns.mean_queue,
         std::nullopt,
         seed});
}

void run_affinity_bench(bench_report& report, std::uint64_t seed)
{
    routing_setup setup;
    setup.seed = seed;
    setup.load.least_prompt = prefix_tokens;
    setup.load.prefixes = shared_prefixes;
    setup.load.prefix_tokens = prefix_tokens;
    routing_setup plain = setup;
    plain.load.prefix_known = false;
    const auto ours = measure(setup, engine_count, 30s, 30s);
    const auto without = measure(plain, engine_count, 30s, 30s);
    report.add(
        {"first_token_p95_with_shared_prefixes.vs_no_affinity",
         ours.first_token_p95_seconds,
         "s",
         without.first_token_p95_seconds,
         std::nullopt,
         seed});
    report.add(
        {"worst_queue_with_shared_prefixes.vs_no_affinity",
         ours.worst_queue_over_mean,
         "of mean",
         without.worst_queue_over_mean,
         std::nullopt,
         seed});
}

} // namespace fireflysail::benchmarks
