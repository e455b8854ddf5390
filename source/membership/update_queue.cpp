#include "membership/update_queue.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr std::size_t min_transmissions = 3;
constexpr std::size_t transmissions_per_doubling = 1;

std::size_t transmission_limit(std::size_t fleet)
{
    return min_transmissions +
           transmissions_per_doubling * std::bit_width(fleet);
}

} // namespace

void update_queue::add(const std::string& name)
{
    this->send_counts[name] = 0;
}

void update_queue::remove(const std::string& name)
{
    this->send_counts.erase(name);
}

std::vector<std::string> update_queue::least_sent(std::size_t count) const
{
    std::vector<std::pair<std::size_t, std::string>> ordered;
    for (const auto& [name, times] : this->send_counts)
    {
        ordered.emplace_back(times, name);
    }
    const std::size_t taken = std::min(count, ordered.size());
    std::ranges::partial_sort(
        ordered, ordered.begin() + static_cast<std::ptrdiff_t>(taken));
    std::vector<std::string> names;
    for (std::size_t i = 0; i < taken; ++i)
    {
        names.push_back(ordered[i].second);
    }
    return names;
}

void update_queue::count_sent(const std::string& name, std::size_t fleet)
{
    const auto found = this->send_counts.find(name);
    if (found != this->send_counts.end() &&
        ++found->second >= transmission_limit(fleet))
    {
        this->send_counts.erase(found);
    }
}

bool update_queue::empty() const
{
    return this->send_counts.empty();
}

} // namespace fireflysail
