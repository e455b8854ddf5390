#include "routing/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace fireflysail
{

retry_budget::retry_budget(const options& chosen, time_point now)
    : chosen{chosen}
    , tokens{chosen.initial}
    , updated_at{now}
{
}

double retry_budget::left(time_point now) const
{
    const std::chrono::duration<double> elapsed = now - this->updated_at;
    const double refilled =
        std::max(elapsed.count(), 0.0) * this->chosen.refill_per_second;
    return std::min(this->chosen.capacity, this->tokens + refilled);
}

void retry_budget::configure(const options& wanted, time_point now)
{
    this->tokens = std::min(this->left(now), wanted.capacity);
    this->updated_at = now;
    this->chosen = wanted;
}

void retry_budget::credit(time_point now)
{
    this->tokens = std::min(
        this->chosen.capacity,
        this->left(now) + this->chosen.share_of_requests);
    this->updated_at = now;
}

bool retry_budget::try_take(time_point now)
{
    this->tokens = this->left(now);
    this->updated_at = now;
    if (this->tokens < 1)
    {
        return false;
    }
    this->tokens -= 1;
    return true;
}

bool retry_budget::try_take_spare(time_point now)
{
    return this->left(now) > this->chosen.capacity / 2 && this->try_take(now);
}

void retry_budget::give_back(time_point now)
{
    this->tokens = std::min(this->chosen.capacity, this->left(now) + 1);
    this->updated_at = now;
}

} // namespace fireflysail
