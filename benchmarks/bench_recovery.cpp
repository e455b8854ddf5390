#include "bench_recovery.hpp"

#include "simulation/recovery_world.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <vector>

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;
using namespace fireflysail::simulation;

constexpr duration settled = 20s;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
    {
        return 0;
    }
    std::ranges::sort(values);
    const double position = std::ceil(q * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(position, 1.0)) - 1;
    return values[index];
}

struct recovery_figures
{
    std::size_t faults = 0;
    double next_token_p95 = 0;
    double next_token_worst = 0;
    double misordered = 0;
    double lost = 0;
    double work_over_ideal = 0;
    int crashed_by_request = 0;
};

using fault_script = std::function<void(recovery_world&)>;

recovery_figures measure(
    const recovery_shape& shape,
    recovery_mode mode,
    std::uint64_t seed,
    const fault_script& script,
    duration length)
{
    recovery_world world{shape, mode, seed};
    script(world);
    world.run_until(time_point{} + settled + length);
    world.stop_arrivals();
    world.run_until(time_point{} + settled + length + 90s);
    recovery_figures figures;
    std::vector<double> gaps;
    duration work{};
    duration ideal{};
    for (const caller_stream& caller : world.callers())
    {
        for (const duration gap : caller.gaps)
        {
            gaps.push_back(seconds(gap));
        }
        figures.misordered += caller.misordered;
        figures.lost += caller.finished ? 0 : 1;
        if (caller.hit && caller.finished)
        {
            work += caller.work;
            ideal += caller.ideal_work;
        }
    }
    figures.faults = gaps.size();
    figures.next_token_p95 = quantile(gaps, 0.95);
    figures.next_token_worst = quantile(gaps, 1);
    figures.work_over_ideal =
        ideal > duration::zero() ? seconds(work) / seconds(ideal) : 1;
    figures.crashed_by_request = world.engines_crashed_by_request();
    return figures;
}

void report_both(
    bench_report& report,
    std::uint64_t seed,
    const std::string& name,
    const recovery_figures& managed,
    const recovery_figures& plain)
{
    report.add(
        {name + "_next_token_p95",
         managed.next_token_p95,
         "s",
         plain.next_token_p95,
         bound{bound_kind::at_most, 0.6},
         seed});
    report.add(
        {name + "_repeated_or_missing",
         managed.misordered,
         "tokens",
         plain.misordered,
         bound{bound_kind::at_most, 0},
         seed});
    report.add(
        {name + "_lost",
         managed.lost,
         "streams",
         plain.lost,
         bound{bound_kind::at_most, 0},
         seed});
    report.add(
        {name + "_faults",
         static_cast<double>(managed.faults),
         "streams",
         static_cast<double>(plain.faults),
         std::nullopt,
         seed});
}

} // namespace

void bench_stage_death(bench_report& report, std::uint64_t seed)
{
    const fault_script script = [](recovery_world& world)
    {
        for (int i = 0; i < 15; ++i)
        {
            world.at(
                time_point{} + settled + i * 8s,
                [&world]
                {
                    world.kill_some_engine();
                });
        }
    };
    const auto managed =
        measure({}, recovery_mode::managed, seed, script, 120s);
    const auto plain = measure({}, recovery_mode::plain, seed, script, 120s);
    report_both(report, seed, "stage_death", managed, plain);
}

void bench_silent_connection(bench_report& report, std::uint64_t seed)
{
    const fault_script script = [](recovery_world& world)
    {
        for (int i = 0; i < 300; ++i)
        {
            world.at(
                time_point{} + settled + i * 200ms,
                [&world]
                {
                    world.silence_some_stream();
                });
        }
    };
    const auto managed = measure({}, recovery_mode::managed, seed, script, 60s);
    const auto plain = measure({}, recovery_mode::plain, seed, script, 60s);
    report_both(report, seed, "silent_connection", managed, plain);
}

void bench_hung_engine(bench_report& report, std::uint64_t seed)
{
    const fault_script script = [](recovery_world& world)
    {
        for (int i = 0; i < 15; ++i)
        {
            world.at(
                time_point{} + settled + i * 8s,
                [&world]
                {
                    world.hang_some_engine();
                });
        }
    };
    const auto managed =
        measure({}, recovery_mode::managed, seed, script, 120s);
    const auto plain = measure({}, recovery_mode::plain, seed, script, 120s);
    report_both(report, seed, "hung_engine", managed, plain);
}

void bench_zone_loss(bench_report& report, std::uint64_t seed)
{
    const fault_script script = [](recovery_world& world)
    {
        world.at(
            time_point{} + settled,
            [&world]
            {
                world.kill_zone(1);
            });
    };
    const auto managed = measure({}, recovery_mode::managed, seed, script, 30s);
    const auto plain = measure({}, recovery_mode::plain, seed, script, 30s);
    report.add(
        {"zone_loss_all_resumed",
         managed.next_token_worst,
         "s",
         plain.next_token_worst,
         bound{bound_kind::at_most, 5},
         seed});
    report.add(
        {"zone_loss_work_over_ideal",
         managed.work_over_ideal,
         "ratio",
         plain.work_over_ideal,
         bound{bound_kind::at_most, 1.2},
         seed});
    report.add(
        {"zone_loss_repeated_or_missing",
         managed.misordered,
         "tokens",
         plain.misordered,
         bound{bound_kind::at_most, 0},
         seed});
    report.add(
        {"zone_loss_lost",
         managed.lost,
         "streams",
         plain.lost,
         bound{bound_kind::at_most, 0},
         seed});
    report.add(
        {"zone_loss_streams_hit",
         static_cast<double>(managed.faults),
         "streams",
         static_cast<double>(plain.faults),
         std::nullopt,
         seed});
}

void bench_crashing_request(bench_report& report, std::uint64_t seed)
{
    const fault_script script = [](recovery_world& world)
    {
        world.at(
            time_point{} + settled,
            [&world]
            {
                world.send_crasher();
            });
    };
    const auto managed = measure({}, recovery_mode::managed, seed, script, 3s);
    const auto plain = measure({}, recovery_mode::plain, seed, script, 3s);
    report.add(
        {"crashing_request_crashes",
         static_cast<double>(managed.crashed_by_request),
         "engines",
         static_cast<double>(plain.crashed_by_request),
         bound{bound_kind::at_most, 2},
         seed});
    // The request itself is the one that is not answered.
    report.add(
        {"crashing_request_bystanders_lost",
         managed.lost - 1,
         "streams",
         plain.lost - 1,
         bound{bound_kind::at_most, 0},
         seed});
    report.add(
        {"crashing_request_bystander_next_token_p95",
         managed.next_token_p95,
         "s",
         plain.next_token_p95,
         bound{bound_kind::at_most, 0.6},
         seed});
}

} // namespace fireflysail::benchmarks
