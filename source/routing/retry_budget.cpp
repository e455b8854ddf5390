#include "routing/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace fireflysail
{

retry_budget::retry_budget(const options& chosen, time_point now)
    : chosen{chosen}
    , tokens{chosen.at_start}
    , since{now}
{
}

double retry_budget::left(time_point now) const
{
    const std::chrono::duration<double> elapsed = now - this->since;
    const double refilled =
        std::max(elapsed.count(), 0.0) * this->chosen.refill_per_second;
    return std::min(this->chosen.most, this->tokens + refilled);
}

void retry_budget::configure(const options& wanted, time_point now)
{
    this->tokens = std::min(this->left(now), wanted.most);
    this->since = now;
    this->chosen = wanted;
}

void retry_budget::credit(time_point now)
{
    this->tokens = std::min(
        this->chosen.most, this->left(now) + this->chosen.share_of_requests);
    this->since = now;
}

bool retry_budget::try_take(time_point now)
{
    this->tokens = this->left(now);
    this->since = now;
    if (this->tokens < 1)
    {
        return false;
    }
    this->tokens -= 1;
    return true;
}

void retry_budget::give_back(time_point now)
{
    this->tokens = std::min(this->chosen.most, this->left(now) + 1);
    this->since = now;
}

} // namespace fireflysail
