#include "routing/progress_monitor.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflysail
{

namespace
{

using float_seconds = std::chrono::duration<double>;

/// Gains of the smoothed mean and deviation, as for TCP's retransmission timer.
constexpr double mean_gain = 0.125;
constexpr double deviation_gain = 0.25;
constexpr double deviations = 4;
constexpr int max_doublings = 6;
constexpr std::size_t min_streams_to_compare = 3;

} // namespace

progress_monitor::progress_monitor(
    const options& chosen,
    duration expected_first,
    duration expected_step,
    time_point now,
    int attempts_without_progress)
    : chosen{chosen}
    , expected_first{expected_first}
    , doublings{std::clamp(attempts_without_progress, 0, max_doublings)}
    , mean_step{float_seconds{expected_step}.count()}
    , last_progress{now}
{
}

void progress_monitor::on_progress(time_point now)
{
    if (this->has_progress)
    {
        const double sample = float_seconds{now - this->last_progress}.count();
        const double error = sample - this->mean_step;
        this->mean_step += mean_gain * error;
        this->deviation += deviation_gain * (std::abs(error) - this->deviation);
    }
    this->has_progress = true;
    this->last_progress = now;
}

time_point progress_monitor::silent_at() const
{
    const float_seconds first{
        this->expected_first * this->chosen.prefill_factor};
    const float_seconds step{std::max(
        this->mean_step * this->chosen.step_factor,
        this->mean_step + deviations * this->deviation)};
    const float_seconds bound =
        this->has_progress ? step : (first + step) * (1 << this->doublings);
    const float_seconds limited = std::min(
        bound + float_seconds{this->chosen.margin},
        float_seconds{this->chosen.max_timeout});
    return this->last_progress + std::chrono::duration_cast<duration>(limited);
}

bool progress_monitor::is_silent(time_point now) const
{
    return now >= this->silent_at();
}

time_point progress_monitor::last_progress_at() const
{
    return this->last_progress;
}

duration progress_monitor::step() const
{
    return std::chrono::duration_cast<duration>(float_seconds{this->mean_step});
}

bool has_stalled(
    const server_progress& server, time_point silent_since, duration step)
{
    return server.streams >= min_streams_to_compare &&
           server.last_token <= silent_since + step;
}

} // namespace fireflysail
