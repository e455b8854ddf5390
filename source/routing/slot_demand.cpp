#include "routing/slot_demand.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

constexpr double long_work_factor = 6;
constexpr std::size_t min_samples = 16;
constexpr std::size_t max_threshold_samples = 256;
constexpr std::chrono::duration<double> demand_time_constant = 2s;
/// Headroom above the current demand, in standard deviations of a Poisson
/// distribution whose mean is the average demand. For comparison, mean + 2
/// standard deviations is exceeded about 2% of the time.
constexpr double headroom_deviations = 0.5;
constexpr double negligible_slots = 0.05;
constexpr std::chrono::duration<double> arrival_time_constant = 1s;
constexpr double slowdown_gain = 0.02;
constexpr double max_slowdown = 16;

/// Weight of a value learned `elapsed` ago in an exponential average.
double
decay_factor(duration elapsed, std::chrono::duration<double> time_constant)
{
    return std::exp(-std::max(elapsed / time_constant, 0.0));
}

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void long_work_threshold::observe(duration expected)
{
    const double value = std::log(std::max(seconds(expected), 1e-6));
    this->samples = std::min(this->samples + 1, max_threshold_samples);
    this->mean_log +=
        (value - this->mean_log) / static_cast<double>(this->samples);
}

duration long_work_threshold::typical() const
{
    if (this->samples < min_samples)
    {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::exp(this->mean_log)));
}

duration long_work_threshold::value() const
{
    const duration typical = this->typical();
    if (typical == duration::zero())
    {
        return duration::max();
    }
    return std::chrono::duration_cast<duration>(typical * long_work_factor);
}

bool long_work_threshold::is_long(duration expected) const
{
    return expected >= this->value();
}

void slot_demand::observe(std::size_t short_work, time_point now)
{
    const double kept = decay_factor(now - this->since, demand_time_constant);
    this->average =
        this->average * kept + static_cast<double>(this->current) * (1 - kept);
    this->current = short_work;
    this->since = now;
}

std::size_t slot_demand::slots() const
{
    const double headroom = std::ceil(
        headroom_deviations * std::sqrt(this->average) - negligible_slots);
    return this->current + static_cast<std::size_t>(std::max(headroom, 0.0));
}

void work_rate::observe(duration expected, time_point now)
{
    this->average = this->value(now) + expected / arrival_time_constant;
    this->since = now;
}

double work_rate::value(time_point now) const
{
    return this->average *
           decay_factor(now - this->since, arrival_time_constant);
}

void service_slowdown::observe(duration expected, duration actual)
{
    const double sample = seconds(actual) / std::max(seconds(expected), 1e-6);
    this->ratio +=
        slowdown_gain * (std::clamp(sample, 0.0, max_slowdown) - this->ratio);
}

double service_slowdown::value() const
{
    return std::max(this->ratio, 1.0 / max_slowdown);
}

} // namespace fireflysail
