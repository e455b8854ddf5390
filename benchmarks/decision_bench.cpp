#include "decision_bench.hpp"

#include "common/hash.hpp"
#include "percentile.hpp"
#include "routing/choice.hpp"
#include "routing/planner.hpp"

#include <fmt/format.h>

#include <random>
#include <vector>

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t engine_count = 600;
constexpr std::size_t model_count = 10;
constexpr std::uint32_t layers = 48;
constexpr std::size_t decisions = 200'000;
constexpr std::size_t changes = 60;
constexpr double decision_limit_us = 20;
constexpr double replanning_limit_ms = 10;

/// How the ranges of the engines lie to one another.
enum class range_shape
{
    /// Thirds of the layers, some two of them.
    aligned,
    /// Any beginning and end, a quarter of the layers or more.
    arbitrary,
};

layer_range draw_range(range_shape shape, std::mt19937_64& random)
{
    if (shape == range_shape::aligned)
    {
        const auto part = static_cast<std::uint32_t>(random() % 3);
        const std::uint32_t parts = part < 2 && random() % 8 == 0 ? 2 : 1;
        return {
            layer_index{part * layers / 3},
            layer_index{(part + parts) * layers / 3}};
    }
    const auto first = static_cast<std::uint32_t>(random() % (layers * 3 / 4));
    const auto most = layers - first;
    const auto size = layers / 4 + static_cast<std::uint32_t>(
                                       random() % (most - layers / 4 + 1));
    const bool begins = random() % 4 == 0;
    return {
        layer_index{begins ? 0 : first},
        layer_index{(begins ? 0 : first) + size}};
}

fleet_snapshot make_fleet(range_shape shape, std::mt19937_64& random)
{
    fleet_snapshot fleet;
    for (std::size_t m = 0; m < model_count; ++m)
    {
        fleet.models.push_back({model_id{fmt::format("model-{}", m)}, layers});
    }
    for (std::size_t i = 0; i < engine_count; ++i)
    {
        engine made;
        made.id = server_id{fmt::format("engine-{}", i)};
        made.zone = zone_id{fmt::format("zone-{}", random() % 3)};
        made.region = region_id{"region"};
        made.kind = accelerator_kind{fmt::format("kind-{}", random() % 3)};
        const layer_range range = draw_range(shape, random);
        made.holdings.push_back(
            {fleet.models[i % model_count].id, model_version{"v1"}, range, {}});
        made.load.running = static_cast<std::uint32_t>(random() % 60);
        made.load.slots = 64;
        made.load.step_time = 300us * range.size();
        made.load.prefill_time_per_token = 3us * range.size();
        fleet.engines.push_back(std::move(made));
    }
    return fleet;
}

double microseconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>{
        std::chrono::steady_clock::now() - start}
        .count();
}

double worst_replanning_ms(range_shape shape, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    fleet_snapshot fleet = make_fleet(shape, random);
    auto table = plan_routes(fleet, nullptr);
    double worst = 0;
    for (std::size_t i = 0; i < changes; ++i)
    {
        engine& changed = fleet.engines[random() % engine_count];
        changed.healthy = !changed.healthy;
        const auto start = std::chrono::steady_clock::now();
        table = plan_routes(fleet, table);
        worst = std::max(worst, microseconds_since(start) / 1000);
    }
    return worst;
}

/// What an entry instance keeps, filled once from the fleet's reports.
struct routing_state
{
    explicit routing_state(const fleet_snapshot& fleet)
        : table{plan_routes(fleet, nullptr)}
    {
        for (const engine& each : fleet.engines)
        {
            this->loads.report(
                *this->table->slot_of(each.id),
                stable_hash(each.id.str()),
                each.load,
                this->time.now());
        }
        for (const auto& [key, set] : this->table->sets)
        {
            this->loads.update_utilization(*set);
        }
    }

    load_view view() const
    {
        return {
            this->loads,
            this->times,
            this->states,
            this->prefixes,
            this->time.now()};
    }

    system_clock time;
    std::shared_ptr<const route_table> table;
    load_tracker loads{time};
    service_times times;
    service_states states;
    prefix_affinity prefixes;
};

struct decision_times
{
    double p50_us = 0;
    double p99_us = 0;
};

template <class Choose>
decision_times measure(const fleet_snapshot& fleet, const Choose& choose)
{
    std::vector<double> times;
    times.reserve(decisions);
    for (std::size_t i = 0; i < decisions; ++i)
    {
        route_request wanted;
        wanted.model = fleet.models[i % model_count].id;
        wanted.prompt_tokens = 300;
        wanted.expected_output_tokens = 128;
        wanted.prefix = 1 + i % 1000;
        wanted.prefix_tokens = 200;
        const auto start = std::chrono::steady_clock::now();
        choose(wanted);
        times.push_back(microseconds_since(start));
    }
    return {percentile(times, 0.5), percentile(times, 0.99)};
}

} // namespace

void run_decision_bench(bench_report& report, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    const fleet_snapshot fleet = make_fleet(range_shape::aligned, random);
    routing_state state{fleet};
    const auto ours = measure(
        fleet,
        [&](const route_request& wanted)
        {
            const auto choice =
                choose_pipeline(*state.table, wanted, state.view(), random);
            const auto& chosen = std::get<chosen_pipeline>(choice);
            state.loads.begin(*chosen.route);
            state.loads.end(*chosen.route);
        });
    std::size_t turn = 0;
    const auto turns = measure(
        fleet,
        [&](const route_request& wanted)
        {
            const auto& candidates =
                state.table->versions.at(wanted.model).front()->candidates;
            const pipeline& next = candidates[turn++ % candidates.size()];
            state.loads.begin(next);
            state.loads.end(next);
        });
    const bound decision{bound_kind::at_most, decision_limit_us};
    const bound replanning{bound_kind::at_most, replanning_limit_ms};
    report.add(
        {"decision_p99.vs_round_robin",
         ours.p99_us,
         "us",
         turns.p99_us,
         decision,
         seed});
    report.add(
        {"decision_p50.vs_round_robin",
         ours.p50_us,
         "us",
         turns.p50_us,
         std::nullopt,
         seed});
    report.add(
        {"replanning_after_one_change.aligned_ranges",
         worst_replanning_ms(range_shape::aligned, seed),
         "ms",
         std::nullopt,
         replanning,
         seed});
    report.add(
        {"replanning_after_one_change.arbitrary_ranges",
         worst_replanning_ms(range_shape::arbitrary, seed),
         "ms",
         std::nullopt,
         replanning,
         seed});
}

} // namespace fireflysail::benchmarks
