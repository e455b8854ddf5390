#include "routing/idle_connection_policy.hpp"

#include <algorithm>
#include <chrono>

namespace fireflysail
{

namespace
{

/// The trusted age grows by the observed excess divided by this.
constexpr int growth_divisor = 8;

} // namespace

idle_connection_policy::idle_connection_policy(const options& chosen)
    : chosen{chosen}
    , trusted_age{chosen.trusted_at_start}
{
}

connection_decision idle_connection_policy::decide(
    time_point last_heard, work_kind work, time_point now) const
{
    const duration idle = now - last_heard;
    if (idle > this->trusted_age * this->chosen.kept)
    {
        return connection_decision::discard;
    }
    const duration limit =
        work == work_kind::non_idempotent
            ? std::min(this->trusted_age, this->chosen.just_validated)
            : this->trusted_age;
    return idle <= limit ? connection_decision::use
                         : connection_decision::validate;
}

void idle_connection_policy::on_alive(duration idle)
{
    if (idle > this->trusted_age)
    {
        const duration grown =
            this->trusted_age + (idle - this->trusted_age) / growth_divisor;
        this->trusted_age = std::min(grown, this->chosen.longest_trusted);
    }
}

void idle_connection_policy::on_dead(duration idle)
{
    this->trusted_age = std::clamp(
        idle / 2,
        this->chosen.shortest_trusted,
        std::max(this->trusted_age, this->chosen.shortest_trusted));
}

duration idle_connection_policy::trusted_idle_time() const
{
    return this->trusted_age;
}

} // namespace fireflysail
