#include "routing/idle_connection_policy.hpp"

#include <algorithm>
#include <chrono>

namespace fireflysail
{

namespace
{

/// The trusted idle time grows by the observed excess divided by this.
constexpr int growth_divisor = 8;

} // namespace

idle_connection_policy::idle_connection_policy(const options& chosen)
    : chosen{chosen}
    , trusted_idle{chosen.initial_trusted}
{
}

connection_decision idle_connection_policy::decide(
    time_point last_heard, work_kind work, time_point now) const
{
    const duration idle = now - last_heard;
    if (idle > this->trusted_idle * this->chosen.discard_factor)
    {
        return connection_decision::discard;
    }
    const duration limit =
        work == work_kind::non_idempotent
            ? std::min(this->trusted_idle, this->chosen.recently_heard)
            : this->trusted_idle;
    return idle <= limit ? connection_decision::use
                         : connection_decision::validate;
}

void idle_connection_policy::on_alive(duration idle)
{
    if (idle > this->trusted_idle)
    {
        const duration grown =
            this->trusted_idle + (idle - this->trusted_idle) / growth_divisor;
        this->trusted_idle = std::min(grown, this->chosen.max_trusted);
    }
}

void idle_connection_policy::on_dead(duration idle)
{
    this->trusted_idle = std::clamp(
        idle / 2,
        this->chosen.min_trusted,
        std::max(this->trusted_idle, this->chosen.min_trusted));
}

duration idle_connection_policy::trusted_idle_time() const
{
    return this->trusted_idle;
}

} // namespace fireflysail
