#include "store/call_budget.hpp"

#include <algorithm>
#include <chrono>

namespace fireflysail
{

namespace
{

/// Share of a full bucket that a call of each priority must leave behind.
constexpr std::array<double, call_priorities> left_behind{0.0, 0.1, 0.25, 0.5};

/// What a bucket holds when full. One call more than a second's worth, so
/// that even a tiny share allows a call of the lowest priority now and then.
double capacity(double rate)
{
    return std::max(rate, 2.0);
}

} // namespace

call_budget::call_budget(const call_rates& rates, time_point now)
    : buckets{
          bucket{rates.reads, capacity(rates.reads)},
          bucket{rates.writes, capacity(rates.writes)}}
    , refilled{now}
{
}

void call_budget::set_rates(const call_rates& rates)
{
    const absl::MutexLock lock{&this->mutex};
    this->buckets[static_cast<std::size_t>(call_type::read)].rate = rates.reads;
    this->buckets[static_cast<std::size_t>(call_type::write)].rate =
        rates.writes;
}

bool call_budget::take(call_type type, call_priority priority, time_point now)
{
    const auto rank = static_cast<std::size_t>(priority);
    const absl::MutexLock lock{&this->mutex};
    this->refill(now);
    bucket& from = this->buckets[static_cast<std::size_t>(type)];
    const double floor = capacity(from.rate) * left_behind[rank];
    if (from.tokens < floor + 1)
    {
        this->counters.refused[rank] += 1;
        return false;
    }
    from.tokens -= 1;
    this->counters.granted[rank] += 1;
    return true;
}

call_budget_counts call_budget::counts() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->counters;
}

void call_budget::refill(time_point now)
{
    const std::chrono::duration<double> passed =
        std::max(duration::zero(), now - this->refilled);
    this->refilled = std::max(this->refilled, now);
    for (bucket& one : this->buckets)
    {
        one.tokens = std::min(
            capacity(one.rate), one.tokens + one.rate * passed.count());
    }
}

} // namespace fireflysail
