#include "throughput_bench.hpp"

#include "mixed_fleet.hpp"
#include "routing_run.hpp"

#include <fmt/format.h>

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t engine_count = 40;
constexpr std::size_t lost_one_in = 8;

/// Streams for each engine: enough to keep every batch full.
constexpr std::size_t streams_each = 130;

constexpr double throughput_limit = 0.95;

struct shares
{
    double whole = 0;
    double after_loss = 0;
};

std::vector<bounded_engine> survivors(std::vector<bounded_engine> engines)
{
    std::vector<bounded_engine> left;
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        if (i % lost_one_in != 0)
        {
            left.push_back(engines[i]);
        }
    }
    return left;
}

shares measure(routing_policy policy, std::uint64_t seed)
{
    simulation::event_loop loop;
    simulation::fake_fleet fleet{loop};
    const auto engines = add_mixed_engines(fleet, engine_count, seed);
    routing_setup setup;
    setup.policy = policy;
    setup.seed = seed;
    setup.load.concurrency = engine_count * streams_each;
    routing_run run{loop, fleet, setup};
    run.warm_up(120s);
    const mean_request mean = mean_of(setup.load);
    shares measured;
    measured.whole = run.measure(40s).tokens_per_second /
                     tokens_per_second_bound(engines, mixed_fleet_layers, mean);
    for (std::size_t i = 0; i < engine_count; i += lost_one_in)
    {
        fleet.at(i).die();
    }
    run.warm_up(60s);
    measured.after_loss =
        run.measure(40s).tokens_per_second /
        tokens_per_second_bound(survivors(engines), mixed_fleet_layers, mean);
    return measured;
}

} // namespace

void run_throughput_bench(bench_report& report, std::uint64_t seed)
{
    const shares ours = measure(routing_policy::expected_completion, seed);
    const shares turns = measure(routing_policy::round_robin, seed);
    const shares lagged = measure(routing_policy::least_lagged_load, seed);
    const bound limit{bound_kind::at_least, throughput_limit};
    const auto add = [&](const char* name, double value, double baseline)
    {
        report.add({name, value, "of bound", baseline, limit, seed});
    };
    add("throughput_at_saturation.vs_round_robin", ours.whole, turns.whole);
    add("throughput_at_saturation.vs_least_lagged_load",
        ours.whole,
        lagged.whole);
    add("throughput_after_loss_of_an_eighth.vs_round_robin",
        ours.after_loss,
        turns.after_loss);
    add("throughput_after_loss_of_an_eighth.vs_least_lagged_load",
        ours.after_loss,
        lagged.after_loss);
}

} // namespace fireflysail::benchmarks
