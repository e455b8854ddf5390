#include "bench_queueing.hpp"

#include "simulation/serving_pool.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;
using namespace fireflysail::simulation;
using float_seconds = std::chrono::duration<double>;

double seconds(duration value)
{
    return float_seconds{value}.count();
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

constexpr std::uint32_t prompt_tokens = 200;
constexpr std::uint32_t mean_output_tokens = 40;
constexpr double length_error = 0.3;

pool_shape pool_of(std::size_t engines, std::uint32_t slots = 16)
{
    pool_shape shape;
    shape.engines = engines;
    shape.engine.slots = slots;
    shape.engine.max_batch = slots;
    return shape;
}

/// Draws jobs; every policy gets the same ones for the same seed.
class job_source
{
public:
    explicit job_source(std::uint64_t seed)
        : random{seed}
    {
    }

    pool_job short_job(time_point arrival)
    {
        pool_job job;
        job.arrival = arrival;
        job.workspace = fmt::format("workspace-{}", this->random() % 10);
        job.prompt_tokens = prompt_tokens;
        std::uniform_int_distribution<std::uint32_t> output{
            mean_output_tokens / 2, mean_output_tokens * 3 / 2};
        job.output_tokens = output(this->random);
        this->expect(job);
        return job;
    }

    pool_job straggler(time_point arrival)
    {
        pool_job job = this->short_job(arrival);
        job.output_tokens *= 30;
        this->expect(job);
        return job;
    }

    duration gap(double per_second)
    {
        std::exponential_distribution<double> draw{per_second};
        return std::chrono::duration_cast<duration>(
            float_seconds{draw(this->random)});
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>{}(this->random);
    }

private:
    void expect(pool_job& job)
    {
        std::lognormal_distribution<double> error{0, length_error};
        const double expected = job.output_tokens * error(this->random);
        job.expected_tokens =
            static_cast<std::uint32_t>(std::max(expected, 1.0));
    }

    std::mt19937_64 random;
};

// Short work behind long work.

struct straggler_setup
{
    std::size_t engines = 8;
    std::uint32_t slots = 16;
    double short_per_second = 19;
    /// Short jobs that arrive together, beside the others.
    int burst = 0;
    duration burst_interval = 10s;
    /// Stragglers that arrive together.
    int clump = 1;
    duration warm_up = 120s;
    duration measured = 600s;
    duration drained = 300s;
};

struct straggler_figures
{
    double short_wait_p95 = 0;
    double long_stretch_worst = 0;
    double long_stretch_p95 = 0;
    double unfinished = 0;
    double preemptions = 0;
};

std::vector<pool_job>
straggler_jobs(const straggler_setup& setup, std::uint64_t seed)
{
    job_source shorts{seed};
    job_source longs{seed + 1000};
    std::vector<pool_job> jobs;
    const time_point end = time_point{} + setup.warm_up + setup.measured;
    for (time_point at{}; at < end; at += shorts.gap(setup.short_per_second))
    {
        jobs.push_back(shorts.short_job(at));
    }
    for (time_point at{}; setup.burst > 0 && at < end;
         at += setup.burst_interval)
    {
        for (int i = 0; i < setup.burst; ++i)
        {
            jobs.push_back(shorts.short_job(at + 3s + i * 1ms));
        }
    }
    const double all_short =
        setup.short_per_second + setup.burst / seconds(setup.burst_interval);
    const double long_per_second = all_short * 0.05 / 0.95;
    const double clumps_per_second = long_per_second / setup.clump;
    for (time_point at = time_point{} + longs.gap(clumps_per_second); at < end;
         at += longs.gap(clumps_per_second))
    {
        for (int i = 0; i < setup.clump; ++i)
        {
            jobs.push_back(longs.straggler(at + i * 1ms));
        }
    }
    return jobs;
}

bool is_straggler(const pool_job& job)
{
    return job.output_tokens > mean_output_tokens * 3 / 2;
}

straggler_figures run_stragglers(
    const straggler_setup& setup,
    const pool_policy& policy,
    const std::vector<pool_job>& jobs,
    bool with_long)
{
    serving_pool pool{pool_of(setup.engines, setup.slots), policy};
    for (const pool_job& job : jobs)
    {
        if (with_long || !is_straggler(job))
        {
            pool.arrive(job);
        }
    }
    const time_point end = time_point{} + setup.warm_up + setup.measured;
    pool.run_until(end + setup.drained);
    std::vector<double> waits;
    std::vector<double> stretches;
    straggler_figures figures;
    for (const pool_job& job : pool.jobs())
    {
        if (job.arrival < time_point{} + setup.warm_up)
        {
            continue;
        }
        if (!job.finished)
        {
            ++figures.unfinished;
            continue;
        }
        if (!is_straggler(job))
        {
            waits.push_back(seconds(*job.first_token - job.arrival));
            continue;
        }
        const duration took = *job.finished - job.arrival;
        stretches.push_back(seconds(took) / seconds(pool.nominal(job)));
        figures.preemptions += job.preemptions;
    }
    figures.short_wait_p95 = quantile(waits, 0.95);
    figures.long_stretch_worst = quantile(stretches, 1);
    figures.long_stretch_p95 = quantile(stretches, 0.95);
    return figures;
}

void bench_stragglers(
    bench_report& report,
    std::uint64_t seed,
    const std::string& name,
    const straggler_setup& setup)
{
    const auto jobs = straggler_jobs(setup, seed);
    const pool_policy managed = managed_policy{};
    const pool_policy plain = fifo_policy{setup.slots};
    const auto without = run_stragglers(setup, managed, jobs, false);
    const auto with = run_stragglers(setup, managed, jobs, true);
    const auto plain_without = run_stragglers(setup, plain, jobs, false);
    const auto plain_with = run_stragglers(setup, plain, jobs, true);
    report.add(
        {name + "_short_wait_p95_over_without",
         with.short_wait_p95 / without.short_wait_p95,
         "ratio",
         plain_with.short_wait_p95 / plain_without.short_wait_p95,
         bound{bound_kind::at_most, 1.25},
         seed});
    report.add(
        {name + "_short_wait_p95",
         with.short_wait_p95,
         "s",
         plain_with.short_wait_p95,
         bound{bound_kind::at_most, 1.25 * plain_without.short_wait_p95},
         seed});
    report.add(
        {name + "_long_worst_over_ideal",
         with.long_stretch_worst,
         "ratio",
         plain_with.long_stretch_worst,
         bound{bound_kind::at_most, 2},
         seed});
    report.add(
        {name + "_long_p95_over_ideal",
         with.long_stretch_p95,
         "ratio",
         plain_with.long_stretch_p95,
         bound{bound_kind::at_most, 2},
         seed});
    report.add(
        {name + "_unfinished",
         with.unfinished + without.unfinished,
         "requests",
         plain_with.unfinished,
         bound{bound_kind::at_most, 0},
         seed});
    report.add(
        {name + "_preemptions",
         with.preemptions,
         "preemptions",
         std::nullopt,
         std::nullopt,
         seed});
}

// A swing to four times the demand.

constexpr std::size_t swing_engines = 8;
constexpr duration swing_start = 60s;
constexpr duration swing_ramp = 1s;
constexpr duration swing_crest = 20s;
constexpr duration swing_end = swing_start + swing_ramp + swing_crest;
constexpr duration swing_last_arrival = swing_end + 40s;
constexpr double usual_load = 0.6;
constexpr double swing_factor = 4;

/// Tokens per second that the engines give when work never runs out.
double saturated_throughput(std::uint64_t seed)
{
    constexpr int jobs = 6000;
    serving_pool pool{pool_of(swing_engines), fifo_policy{}};
    job_source source{seed};
    for (int i = 0; i < jobs; ++i)
    {
        pool.arrive(source.short_job(time_point{}));
    }
    pool.run_until(time_point{} + 20s);
    const std::uint64_t before = pool.tokens_delivered();
    pool.run_until(time_point{} + 60s);
    return static_cast<double>(pool.tokens_delivered() - before) / 40;
}

double demand_factor(duration at)
{
    if (at < swing_start || at >= swing_end + swing_ramp)
    {
        return 1;
    }
    const double up = (at - swing_start) / float_seconds{swing_ramp};
    const double down =
        (swing_end + swing_ramp - at) / float_seconds{swing_ramp};
    const double part = std::min({up, down, 1.0});
    return 1 + (swing_factor - 1) * part;
}

std::vector<pool_job> swing_jobs(double bound_tokens, std::uint64_t seed)
{
    job_source source{seed};
    const double usual = usual_load * bound_tokens / mean_output_tokens;
    std::vector<pool_job> jobs;
    duration at{};
    while (at < swing_last_arrival)
    {
        at += source.gap(usual * swing_factor);
        if (source.uniform() * swing_factor > demand_factor(at))
        {
            continue;
        }
        pool_job job = source.short_job(time_point{} + at);
        const double draw = source.uniform();
        if (draw < 0.2)
        {
            job.priority = request_class::interactive;
            job.deadline = job.arrival + 6s;
        }
        else if (draw < 0.7)
        {
            job.priority = request_class::standard;
            job.deadline = job.arrival + 10s;
        }
        else
        {
            job.priority = request_class::batch;
            job.deadline = job.arrival + 20s;
        }
        jobs.push_back(job);
    }
    return jobs;
}

bool in_time(const pool_job& job)
{
    return job.finished && *job.finished <= job.deadline;
}

struct swing_figures
{
    double goodput = 0;
    double top_class_in_time = 0;
    double refusal_answer_worst = 0;
    double back_to_normal = 0;
    double refused_share = 0;
};

double goodput_at_crest(const std::vector<pool_job>& jobs)
{
    const time_point begin = time_point{} + swing_start + swing_ramp;
    const time_point end = time_point{} + swing_end;
    double tokens = 0;
    for (const pool_job& job : jobs)
    {
        if (in_time(job) && *job.finished >= begin && *job.finished < end)
        {
            tokens += job.output_tokens;
        }
    }
    return tokens / seconds(end - begin);
}

/// Time from the end of the swing to the last half second whose arrivals were
/// not all served in time and as promptly as before the swing.
double time_to_normal(const std::vector<pool_job>& jobs)
{
    constexpr duration bin = 500ms;
    const time_point end = time_point{} + swing_end + swing_ramp;
    std::vector<double> before;
    std::vector<std::vector<double>> waits(
        static_cast<std::size_t>((swing_last_arrival - swing_end) / bin) + 1);
    std::vector<bool> unserved(waits.size(), false);
    for (const pool_job& job : jobs)
    {
        const double wait =
            job.first_token ? seconds(*job.first_token - job.arrival) : 1e9;
        if (job.arrival < time_point{} + swing_start &&
            job.arrival > time_point{} + 20s)
        {
            before.push_back(wait);
        }
        if (job.arrival < end)
        {
            continue;
        }
        const auto index = static_cast<std::size_t>((job.arrival - end) / bin);
        if (index < waits.size())
        {
            waits[index].push_back(wait);
            unserved[index] = unserved[index] || !in_time(job);
        }
    }
    const double usual = quantile(before, 0.95);
    double last = 0;
    for (std::size_t i = 0; i < waits.size(); ++i)
    {
        if (unserved[i] || quantile(waits[i], 0.5) > usual)
        {
            last = seconds(bin) * static_cast<double>(i + 1);
        }
    }
    return last;
}

swing_figures
run_swing(const pool_policy& policy, const std::vector<pool_job>& jobs)
{
    serving_pool pool{pool_of(swing_engines), policy};
    std::ranges::for_each(
        jobs,
        [&](const pool_job& job)
        {
            pool.arrive(job);
        });
    pool.run_until(time_point{} + swing_last_arrival + 60s);
    swing_figures figures;
    double top = 0;
    double top_in_time = 0;
    double refused = 0;
    double crest = 0;
    for (const pool_job& job : pool.jobs())
    {
        if (job.refused)
        {
            figures.refusal_answer_worst = std::max(
                figures.refusal_answer_worst,
                seconds(*job.refused - job.arrival));
        }
        if (job.arrival < time_point{} + swing_start ||
            job.arrival > time_point{} + swing_end)
        {
            continue;
        }
        ++crest;
        refused += job.refused ? 1 : 0;
        if (job.priority == request_class::interactive)
        {
            ++top;
            top_in_time += in_time(job) ? 1 : 0;
        }
    }
    figures.goodput = goodput_at_crest(pool.jobs());
    figures.top_class_in_time = top_in_time / top;
    figures.back_to_normal = time_to_normal(pool.jobs());
    figures.refused_share = refused / crest;
    return figures;
}

} // namespace

void bench_head_of_line(bench_report& report, std::uint64_t seed)
{
    bench_stragglers(report, seed, "head_of_line", {});
    straggler_setup bursts;
    bursts.short_per_second = 11;
    bursts.burst = 60;
    bench_stragglers(report, seed, "head_of_line_bursts", bursts);
    straggler_setup clumps;
    clumps.short_per_second = 13;
    clumps.clump = 30;
    bench_stragglers(report, seed, "head_of_line_clumps", clumps);
}

void bench_head_of_line_few_slots(bench_report& report, std::uint64_t seed)
{
    straggler_setup few;
    few.slots = 4;
    few.short_per_second = 6;
    bench_stragglers(report, seed, "head_of_line_few_slots", few);
}

void bench_swing(bench_report& report, std::uint64_t seed)
{
    const double bound_tokens = saturated_throughput(seed);
    const auto jobs = swing_jobs(bound_tokens, seed);
    const auto managed = run_swing(managed_policy{}, jobs);
    const auto plain = run_swing(fifo_policy{}, jobs);
    report.add(
        {"swing_goodput_over_bound",
         managed.goodput / bound_tokens,
         "ratio",
         plain.goodput / bound_tokens,
         bound{bound_kind::at_least, 0.95},
         seed});
    report.add(
        {"swing_top_class_in_time",
         managed.top_class_in_time,
         "ratio",
         plain.top_class_in_time,
         bound{bound_kind::at_least, 0.99},
         seed});
    report.add(
        {"swing_refusal_answer_worst",
         managed.refusal_answer_worst,
         "s",
         std::nullopt,
         bound{bound_kind::at_most, 0.05},
         seed});
    report.add(
        {"swing_back_to_normal",
         managed.back_to_normal,
         "s",
         plain.back_to_normal,
         bound{bound_kind::at_most, 5},
         seed});
    report.add(
        {"swing_refused_share",
         managed.refused_share,
         "ratio",
         plain.refused_share,
         std::nullopt,
         seed});
}

} // namespace fireflysail::benchmarks
