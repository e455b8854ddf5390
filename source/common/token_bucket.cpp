#include "common/token_bucket.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

// Sums of many small steps miss a whole number by less than this.
constexpr double rounding = 1e-9;

} // namespace

void token_bucket::configure(double new_rate, double new_cap, time_point now)
{
    this->filled = std::min(this->level(now), new_cap);
    this->updated_at = std::max(this->updated_at, now);
    this->rate = new_rate;
    this->cap = new_cap;
}

double token_bucket::level(time_point now) const
{
    const double elapsed =
        to_seconds(std::max(now, this->updated_at) - this->updated_at);
    return std::min(this->cap, this->filled + this->rate * elapsed + rounding);
}

void token_bucket::take(double amount, time_point now)
{
    this->filled = std::max(0.0, this->level(now) - rounding - amount);
    this->updated_at = std::max(this->updated_at, now);
}

void token_bucket::give_back(double amount, time_point now)
{
    this->filled = std::min(this->cap, this->level(now) + amount);
    this->updated_at = std::max(this->updated_at, now);
}

duration token_bucket::time_until(double amount, time_point now) const
{
    const double missing = amount - this->level(now);
    if (missing <= 0)
    {
        return duration::zero();
    }
    if (this->rate <= 0 || amount > this->cap)
    {
        return duration::max();
    }
    return from_seconds(missing / this->rate) + duration{1};
}

} // namespace fireflysail
