#include "routing/resume_pacer.hpp"

#include <algorithm>
#include <chrono>

namespace fireflysail
{

namespace
{

using float_seconds = std::chrono::duration<double>;

constexpr double min_rate = 0.1;

} // namespace

resume_pacer::resume_pacer(const options& chosen)
    : chosen{chosen}
{
}

void resume_pacer::set_rate(double per_second)
{
    this->chosen.per_second = per_second;
}

time_point resume_pacer::reserve(time_point now, std::mt19937_64& random)
{
    const float_seconds interval{
        1 / std::max(this->chosen.per_second, min_rate)};
    const auto step = std::chrono::duration_cast<duration>(interval);
    const auto tolerance = std::chrono::duration_cast<duration>(
        interval * std::max(this->chosen.burst - 1, 0.0));
    this->theoretical_arrival = std::max(this->theoretical_arrival, now) + step;
    const time_point allowed_at = this->theoretical_arrival - step - tolerance;
    if (allowed_at <= now)
    {
        return now;
    }
    std::uniform_real_distribution<double> spread{
        1 - this->chosen.jitter, 1 + this->chosen.jitter};
    const float_seconds wait = (allowed_at - now) * spread(random);
    return now + std::chrono::duration_cast<duration>(wait);
}

} // namespace fireflysail
