#include "control/health_tracker.hpp"

#include <algorithm>

namespace fireflysail
{

health_tracker::health_tracker(health_settings settings)
    : settings{settings}
{
}

bool health_tracker::on_outcome(bool succeeded)
{
    this->failures = succeeded ? 0 : this->failures + 1;
    this->successes = succeeded ? this->successes + 1 : 0;
    const bool was_healthy = this->is_healthy;
    if (this->failures >= this->failure_threshold())
    {
        this->is_healthy = false;
    }
    if (this->successes >= this->settings.healthy_threshold)
    {
        this->is_healthy = true;
    }
    return this->is_healthy != was_healthy;
}

bool health_tracker::on_listing(listing reading)
{
    this->consecutive_readings =
        reading == this->last_reading ? this->consecutive_readings + 1 : 1;
    this->last_reading = reading;
    if (this->consecutive_readings < this->settings.listing_threshold)
    {
        return false;
    }
    const bool was_leaving = this->is_leaving;
    this->is_leaving = reading == listing::leaving;
    return this->is_leaving != was_leaving;
}

bool health_tracker::healthy() const noexcept
{
    return this->is_healthy;
}

bool health_tracker::confirmed_healthy() const noexcept
{
    return this->is_healthy &&
           this->successes >= this->settings.healthy_threshold;
}

bool health_tracker::listed_as_leaving() const noexcept
{
    return this->is_leaving;
}

std::uint32_t health_tracker::failure_threshold() const noexcept
{
    // If the instance list does not show the server as live, a failed probe is
    // not just a lost packet: two sources agree.
    const bool is_not_listed_live = this->last_reading != listing::live;
    return is_not_listed_live ? std::min(1U, this->settings.unhealthy_threshold)
                              : this->settings.unhealthy_threshold;
}

} // namespace fireflysail
