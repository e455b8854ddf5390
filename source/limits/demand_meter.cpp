#include "limits/demand_meter.hpp"

#include "limits/limit_timing.hpp"

#include <algorithm>
#include <numeric>

namespace fireflysail
{

namespace
{

constexpr duration slice_length = std::chrono::milliseconds{100};

std::int64_t slice_number(time_point now)
{
    return now.time_since_epoch() / slice_length;
}

} // namespace

void demand_meter::add(double amount, time_point now)
{
    const std::int64_t number = slice_number(now);
    slice& current =
        this->slices[static_cast<std::size_t>(number) % slice_count];
    if (current.number != number)
    {
        current = {number, 0};
    }
    current.amount += amount;
}

double demand_meter::per_second(time_point now) const
{
    const std::int64_t oldest =
        slice_number(now) - static_cast<std::int64_t>(slice_count) + 1;
    const double total = std::accumulate(
        this->slices.begin(),
        this->slices.end(),
        0.0,
        [&](double sum, const slice& one)
        {
            return one.number >= oldest ? sum + one.amount : sum;
        });
    return total / (to_seconds(slice_length) * slice_count);
}

} // namespace fireflysail
