#include "bench_registry.hpp"
#include "peer/limits_codec.hpp"
#include "rpc_overhead.hpp"
#include "simulation/limit_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflysail::benchmarks
{

void run_limits(bench_report& report, std::uint64_t seed);

namespace
{

using namespace std::chrono_literals;
using simulation::all_but;
using simulation::limit_fleet;
using simulation::limit_fleet_config;

constexpr double most_of_plan = 1.01;
constexpr double least_usable = 0.95;
constexpr duration warm_up = 8s;

struct scenario
{
    std::string name;
    std::size_t instances = 9;
    /// Requests per second of the plan, and of the demand.
    double plan = 100;
    double demand = 300;
    /// Instances that have the demand; it jumps from these to as many others.
    std::size_t spread = 1;
    double loss = 0;
};

limit_fleet_config make_config(const scenario& chosen, std::uint64_t seed)
{
    limit_fleet_config config;
    config.instances = chosen.instances;
    config.seed = seed;
    config.loss = chosen.loss;
    config.duplicates = chosen.loss;
    entitlement_entry plan;
    plan.requests_per_second = chosen.plan;
    plan.concurrency = 1'000'000;
    config.plans = {plan};
    return config;
}

void set_demand(
    limit_fleet& fleet, const scenario& chosen, std::size_t first, bool on)
{
    for (std::size_t i = 0; i < chosen.spread; ++i)
    {
        fleet.set_demand(
            (first + i) % chosen.instances,
            0,
            on ? chosen.demand / static_cast<double>(chosen.spread) : 0);
    }
}

double
used_part(const limit_fleet& fleet, const scenario& chosen, time_point from)
{
    const double time =
        std::chrono::duration<double>(fleet.now() - from).count();
    return fleet.requests(0).total(from, fleet.now()) / time / chosen.plan;
}

double worst_window(const limit_fleet& fleet, const scenario& chosen)
{
    return fleet.requests(0).largest_window(10s, {}, fleet.now()) / 10 /
           chosen.plan;
}

/// What a fixed equal share of each instance would have admitted.
double fixed_share_part(const scenario& chosen)
{
    const double share = chosen.plan / static_cast<double>(chosen.instances);
    const double each = chosen.demand / static_cast<double>(chosen.spread);
    return std::min(share, each) * static_cast<double>(chosen.spread) /
           chosen.plan;
}

void add_figures(
    bench_report& report,
    const scenario& chosen,
    std::uint64_t seed,
    double window,
    double used)
{
    report.add(
        {fmt::format("limits_{}_worst_10s", chosen.name),
         window,
         "of the plan",
         {},
         bound{bound_kind::at_most, most_of_plan},
         seed});
    report.add(
        {fmt::format("limits_{}_usable_after_2s", chosen.name),
         used,
         "of the plan",
         fixed_share_part(chosen),
         bound{bound_kind::at_least, least_usable},
         seed});
}

void run_jumps(
    bench_report& report,
    const scenario& chosen,
    std::uint64_t seed,
    const rpc_overhead& overhead)
{
    limit_fleet fleet{make_config(chosen, seed)};
    fleet.measure_by(
        {[&](const demand_message& message)
         {
             return encode(message).size() + overhead.request;
         },
         [&](const lease_message& message)
         {
             return encode(message).size() + overhead.reply;
         },
         [&](const claim_message& message)
         {
             return encode(message).size() + overhead.request;
         },
         [&](const claim_reply& message)
         {
             return encode(message).size() + overhead.reply;
         }});
    fleet.run_for(warm_up);
    double used = 2;
    std::size_t first = 0;
    const std::uint64_t before = fleet.messages().bytes;
    const time_point start = fleet.now();
    for (int jump = 0; jump < 4; ++jump)
    {
        set_demand(fleet, chosen, first, false);
        first += chosen.spread;
        set_demand(fleet, chosen, first, true);
        fleet.run_for(2s);
        const time_point from = fleet.now();
        fleet.run_for(10s);
        used = std::min(used, used_part(fleet, chosen, from));
    }
    add_figures(report, chosen, seed, worst_window(fleet, chosen), used);
    const double time =
        std::chrono::duration<double>(fleet.now() - start).count();
    report.add(
        {fmt::format("limits_{}_bytes", chosen.name),
         2 * static_cast<double>(fleet.messages().bytes - before) / time /
             static_cast<double>(chosen.instances),
         "B/s in and out per instance",
         {},
         {},
         seed});
}

/// The owner dies again and again; others see it 4 s later, each at a time of
/// its own, and the platform confirms it 6 s after that.
void run_deaths(
    bench_report& report, const scenario& chosen, std::uint64_t seed)
{
    limit_fleet fleet{make_config(chosen, seed)};
    fleet.run_for(warm_up);
    set_demand(fleet, chosen, 0, true);
    fleet.run_for(10s);
    std::vector<std::size_t> dead;
    double least = 2;
    double recovered = 2;
    for (int death = 0; death < 3; ++death)
    {
        const auto live = all_but(chosen.instances, dead);
        const std::size_t owner = fleet.owner(live[0], 0);
        fleet.kill(owner);
        dead.push_back(owner);
        const auto rest = all_but(chosen.instances, dead);
        fleet.run_for(4s);
        fleet.spread_view(rest, live.size(), 600ms);
        const time_point seen = fleet.now();
        fleet.run_for(5s);
        least = std::min(least, used_part(fleet, chosen, seen));
        fleet.run_for(1s);
        fleet.spread_view(rest, rest.size(), 600ms);
        fleet.run_for(4s);
        const time_point from = fleet.now();
        fleet.run_for(10s);
        recovered = std::min(recovered, used_part(fleet, chosen, from));
    }
    add_figures(report, chosen, seed, worst_window(fleet, chosen), recovered);
    report.add(
        {fmt::format("limits_{}_usable_without_owner", chosen.name),
         least,
         "of the plan",
         {},
         {},
         seed});
}

/// The fleet falls apart in two, sees it 3.5 to 4.6 s later, and heals.
void run_partition(
    bench_report& report, const scenario& chosen, std::uint64_t seed)
{
    limit_fleet fleet{make_config(chosen, seed)};
    fleet.run_for(warm_up);
    set_demand(fleet, chosen, 0, true);
    fleet.run_for(10s);
    const std::size_t cut = chosen.instances / 3;
    fleet.set_broken(
        [cut](std::size_t a, std::size_t b)
        {
            return (a < cut) != (b < cut);
        });
    const auto everyone = all_but(chosen.instances, {});
    const std::vector<std::size_t> left(
        everyone.begin(), everyone.begin() + static_cast<std::ptrdiff_t>(cut));
    fleet.run_for(3500ms);
    fleet.spread_view(left, chosen.instances, 1100ms);
    fleet.spread_view(
        all_but(chosen.instances, left), chosen.instances, 1100ms);
    fleet.run_for(20s);
    fleet.set_broken(
        [](std::size_t, std::size_t)
        {
            return false;
        });
    fleet.spread_view(everyone, chosen.instances, 2s);
    fleet.run_for(12s);
    const time_point from = fleet.now();
    fleet.run_for(10s);
    add_figures(
        report,
        chosen,
        seed,
        worst_window(fleet, chosen),
        used_part(fleet, chosen, from));
}

} // namespace

void run_limits(bench_report& report, std::uint64_t seed)
{
    const rpc_overhead overhead = measure_rpc_overhead();
    for (const scenario& chosen : std::vector<scenario>{
             {"jump_9_plan_20", 9, 20, 60, 1, 0},
             {"jump_9_plan_100", 9, 100, 300, 2, 0},
             {"jump_9_plan_1000", 9, 1000, 3000, 3, 0},
             {"jump_9_plan_100_loss_10%", 9, 100, 300, 2, 0.1},
             {"jump_390_plan_100", 390, 100, 300, 10, 0},
             {"jump_390_plan_1000", 390, 1000, 3000, 40, 0},
             {"jump_390_plan_1000_loss_10%", 390, 1000, 3000, 40, 0.1},
             {"jump_390_plan_1000_everywhere", 390, 1000, 3000, 390, 0}})
    {
        run_jumps(report, chosen, seed, overhead);
    }
    for (const scenario& chosen : std::vector<scenario>{
             {"owner_deaths_9", 9, 100, 300, 9, 0.02},
             {"owner_deaths_390", 390, 1000, 3000, 40, 0.02}})
    {
        run_deaths(report, chosen, seed);
    }
    for (const scenario& chosen : std::vector<scenario>{
             {"partition_9", 9, 100, 300, 9, 0.02},
             {"partition_390", 390, 1000, 3000, 390, 0.02}})
    {
        run_partition(report, chosen, seed);
    }
}

} // namespace fireflysail::benchmarks
