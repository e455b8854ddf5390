#include "simulation/usage_record.hpp"

#include <algorithm>
#include <numeric>

namespace fireflysail::simulation
{

void usage_record::add(time_point when, double amount)
{
    this->admissions.push_back({when, amount});
}

double usage_record::total(time_point from, time_point to) const
{
    const auto first =
        std::ranges::lower_bound(this->admissions, from, {}, &admission::when);
    const auto last =
        std::ranges::lower_bound(this->admissions, to, {}, &admission::when);
    return std::accumulate(
        first,
        last,
        0.0,
        [](double sum, const admission& one)
        {
            return sum + one.amount;
        });
}

double usage_record::largest_window(
    duration length, time_point from, time_point to) const
{
    double sum = 0;
    double largest = 0;
    auto end =
        std::ranges::lower_bound(this->admissions, from, {}, &admission::when);
    for (auto begin = end; begin != this->admissions.end() && begin->when < to;
         ++begin)
    {
        for (;
             end != this->admissions.end() && end->when < begin->when + length;
             ++end)
        {
            sum += end->amount;
        }
        largest = std::max(largest, sum);
        sum -= begin->amount;
    }
    return largest;
}

} // namespace fireflysail::simulation
