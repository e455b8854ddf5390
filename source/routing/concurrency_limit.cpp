#include "routing/concurrency_limit.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace fireflysail
{

namespace
{

using float_seconds = std::chrono::duration<double>;

constexpr double overload_factor = 0.8;
/// The limit grows only while at least this fraction of it is in use; below
/// that, fast responses do not show that more requests would be served.
constexpr double min_utilization = 0.8;
/// The limit is in equilibrium where the fraction of delayed requests is
/// step_up / (step_up + step_down).
constexpr double step_up = 0.1;
constexpr double step_down = 0.4;
constexpr std::size_t initial_window_samples = 8;
constexpr double fall_gain = 0.1;
constexpr double rise_gain = 0.05;
/// Medians of a backend server without queueing vary within this factor.
constexpr double noise_band = 1.3;

} // namespace

concurrency_limit::concurrency_limit(const options& chosen)
    : chosen{chosen}
    , current{chosen.initial}
    , ceiling{chosen.maximum}
{
}

void concurrency_limit::on_sample(const sample& seen)
{
    const double ratio =
        float_seconds{seen.observed} /
        std::max(float_seconds{seen.expected}, float_seconds{1e-6});
    this->last_observed = seen.observed;
    this->update_baseline(ratio);
    if (this->baseline == 0)
    {
        return;
    }
    if (ratio > this->chosen.tolerance * this->baseline)
    {
        this->slow_start = false;
        this->current =
            std::max(this->current - step_down, this->chosen.minimum);
        return;
    }
    if (static_cast<double>(seen.in_flight) < min_utilization * this->current)
    {
        return;
    }
    const double step = this->slow_start ? 1 : step_up;
    this->current = std::min(this->current + step, this->ceiling);
}

/// Reduces the limit at most once per response time: refusals within that time
/// are a result of the previous limit.
void concurrency_limit::on_overload(time_point now)
{
    const bool first = this->last_overload == time_point{};
    if (!first && now - this->last_overload < this->last_observed)
    {
        return;
    }
    this->slow_start = false;
    this->last_overload = now;
    this->current =
        std::max(this->current * overload_factor, this->chosen.minimum);
}

void concurrency_limit::on_report(std::size_t slots)
{
    this->ceiling = std::clamp(
        static_cast<double>(slots), this->chosen.minimum, this->chosen.maximum);
    this->current = this->has_report ? std::min(this->current, this->ceiling)
                                     : this->ceiling;
    this->has_report = true;
}

std::size_t concurrency_limit::limit() const
{
    return static_cast<std::size_t>(this->current);
}

/// Updates the baseline from the median of each window, without adapting to
/// congestion that the limit itself causes: a median far above the baseline is
/// accepted only if it persists after the limit has been halved.
void concurrency_limit::update_baseline(double ratio)
{
    this->window[this->in_window++] = ratio;
    const std::size_t full =
        this->baseline == 0 ? initial_window_samples : window_samples;
    if (this->in_window < full)
    {
        return;
    }
    const auto first = this->window.begin();
    const auto last = first + static_cast<std::ptrdiff_t>(this->in_window);
    const auto middle = first + (last - first) / 2;
    std::nth_element(first, middle, last);
    this->in_window = 0;
    if (this->baseline == 0)
    {
        this->baseline = *middle;
        this->undelayed_limit = this->current;
        return;
    }
    const bool undelayed = *middle <= noise_band * this->baseline;
    if (!undelayed && this->current > this->undelayed_limit / 2)
    {
        return;
    }
    const double gain = *middle < this->baseline ? fall_gain : rise_gain;
    this->baseline += gain * (*middle - this->baseline);
    if (undelayed)
    {
        this->undelayed_limit = this->current;
    }
}

} // namespace fireflysail
