#include "demand/demand_sharing.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <vector>

namespace fireflysail
{

namespace
{

/// A speed class ends where the next accelerator is slower by this factor.
constexpr double speed_class_ratio = 2;

/// With two classes, the copies of a zone are still alike.
constexpr std::size_t min_speed_classes = 3;

std::size_t count_speed_classes(const engine_profile& engines)
{
    std::vector<double> factors;
    std::ranges::transform(
        engines.accelerators,
        std::back_inserter(factors),
        &accelerator_profile::step_factor);
    std::ranges::sort(factors);
    std::size_t classes = 0;
    double fastest = 0;
    for (const double factor : factors)
    {
        if (classes == 0 || factor >= fastest * speed_class_ratio)
        {
            ++classes;
            fastest = factor;
        }
    }
    return classes;
}

} // namespace

bool has_ranks(const traffic_config& config, const service_id& service)
{
    const auto leads_to_service = [&service](const route& candidate)
    {
        return std::ranges::any_of(
            candidate.services,
            [&service](const weighted_service& target)
            {
                return target.service == service && target.weight > 0;
            });
    };
    std::set<std::uint32_t> ranks;
    for (const auto& [host, routes] : config.routes)
    {
        for (const route& candidate : routes)
        {
            if (leads_to_service(candidate))
            {
                ranks.insert(candidate.rank);
            }
        }
    }
    if (ranks.empty())
    {
        return false;
    }
    // A workspace whose rank is that of all routes asks for nothing.
    for (const auto& [key, holder] : config.keys)
    {
        if (holder.rank)
        {
            ranks.insert(*holder.rank);
        }
    }
    return ranks.size() > 1;
}

bool calls_for_demand_sharing(const traffic_config& config)
{
    return std::ranges::any_of(
        config.services,
        [&config](const auto& service)
        {
            const auto& engines = service.second.engines;
            return engines &&
                   (has_ranks(config, service.first) ||
                    count_speed_classes(*engines) >= min_speed_classes);
        });
}

} // namespace fireflysail
