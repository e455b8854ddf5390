#include "routing/hedge_limit.hpp"

#include <algorithm>
#include <cmath>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Delayed feedback does not overshoot from this factor (e) on.
constexpr double spread_over_age = 2.72;

/// Copies are in the counts of others no sooner than this.
constexpr duration min_age = 200ms;

double kept_part(duration elapsed, duration time_constant)
{
    return std::exp(
        -std::max(to_seconds(elapsed), 0.0) / to_seconds(time_constant));
}

} // namespace

hedge_limit::hedge_limit(const options& chosen, time_point now)
    : chosen{chosen}
    , updated_at{now}
{
}

void hedge_limit::forget(time_point now)
{
    const duration elapsed = now - this->updated_at;
    this->tokens *= kept_part(
        elapsed,
        std::chrono::duration_cast<duration>(
            this->chosen.window * this->chosen.memory_part));
    const double kept = kept_part(elapsed, this->chosen.window);
    this->requests *= kept;
    this->copies *= kept;
    this->updated_at = std::max(this->updated_at, now);
}

void hedge_limit::on_request(time_point now)
{
    this->forget(now);
    this->requests += 1;
    this->tokens += this->chosen.share * this->chosen.used_share;
}

void hedge_limit::set_fleet(const fleet_hedges& counted, time_point measured_at)
{
    this->fleet = counted;
    this->fleet_measured_at = measured_at;
}

double hedge_limit::chance(time_point now) const
{
    const bool is_fresh =
        this->fleet_measured_at &&
        now - *this->fleet_measured_at < this->chosen.fleet_lifetime;
    if (!is_fresh)
    {
        return std::min(this->tokens, 1.0);
    }
    const double room = this->fleet.requests * this->chosen.share *
                            this->chosen.used_fleet_share -
                        this->fleet.copies;
    // Every request of the fleet may need a copy, and the counts show it late:
    // what is left is spread over several times their age.
    const duration age = std::max(now - *this->fleet_measured_at, min_age);
    const double unseen = this->fleet.requests * spread_over_age *
                          to_seconds(age) / to_seconds(this->chosen.window);
    return unseen > 0 ? std::clamp(room / unseen, 0.0, 1.0) : 0.0;
}

bool hedge_limit::try_take(time_point now, std::mt19937_64& random)
{
    this->forget(now);
    const double allowed = this->chance(now);
    this->tokens = std::max(this->tokens - 1, 0.0);
    const bool taken =
        allowed > 0 && std::bernoulli_distribution{allowed}(random);
    this->copies += taken ? 1 : 0;
    return taken;
}

void hedge_limit::give_back(time_point now)
{
    this->forget(now);
    this->tokens += 1;
    this->copies = std::max(this->copies - 1, 0.0);
}

double hedge_limit::share_used(time_point now) const
{
    hedge_limit current{*this};
    current.forget(now);
    return current.copies / std::max(current.requests, 1.0);
}

} // namespace fireflysail
