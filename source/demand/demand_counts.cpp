#include "demand/demand_counts.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <functional>
#include <ranges>
#include <utility>
#include <vector>

namespace fireflysail
{

namespace
{

demand_key
key_of(demand_subject subject, std::string_view name, std::uint32_t rank = 0)
{
    return {
        subject,
        static_cast<std::uint16_t>(stable_hash(name)),
        static_cast<std::uint8_t>(std::min(rank, max_demand_rank))};
}

} // namespace

demand_key service_rank_key(std::string_view service, std::uint32_t rank)
{
    return key_of(demand_subject::service_rank, service, rank);
}

demand_key workspace_key(std::string_view workspace)
{
    return key_of(demand_subject::workspace, workspace);
}

demand_key other_workspaces_key()
{
    return workspace_key("");
}

demand_key pipeline_key(std::string_view first_stage)
{
    return key_of(demand_subject::pipeline, first_stage);
}

demand_key plain_server_key(std::string_view server)
{
    return key_of(demand_subject::plain_server, server);
}

demand_counts& operator+=(demand_counts& sum, const demand_counts& more)
{
    sum.in_flight += more.in_flight;
    sum.arrivals += more.arrivals;
    sum.refused += more.refused;
    sum.answered += more.answered;
    sum.failed += more.failed;
    sum.response_time += more.response_time;
    return sum;
}

demand_counts operator*(const demand_counts& counts, double factor)
{
    return {
        counts.in_flight * factor,
        counts.arrivals * factor,
        counts.refused * factor,
        counts.answered * factor,
        counts.failed * factor,
        counts.response_time * factor};
}

void add(demand_sum& sum, const demand_sum& more)
{
    for (const auto& [key, counts] : more.rows)
    {
        sum.rows[key] += counts;
    }
    const double all = sum.covered + more.covered;
    if (all > 0)
    {
        const double weighted =
            static_cast<double>(sum.age.count()) * sum.covered +
            static_cast<double>(more.age.count()) * more.covered;
        sum.age = duration{static_cast<duration::rep>(weighted / all)};
    }
    sum.covered += more.covered;
}

void merge_small_workspaces(demand_rows& rows, std::size_t most)
{
    const demand_key others = other_workspaces_key();
    std::vector<std::pair<double, demand_key>> by_arrivals;
    const auto first = rows.lower_bound({demand_subject::workspace, 0, 0});
    const auto end = rows.lower_bound({demand_subject::pipeline, 0, 0});
    for (auto row = first; row != end; ++row)
    {
        if (row->first != others)
        {
            by_arrivals.emplace_back(row->second.arrivals, row->first);
        }
    }
    if (by_arrivals.size() <= most)
    {
        return;
    }
    std::ranges::sort(by_arrivals, std::ranges::greater{});
    for (const auto& [arrivals, key] : by_arrivals | std::views::drop(most))
    {
        const demand_counts counts = rows[key];
        rows.erase(key);
        rows[others] += counts;
    }
}

} // namespace fireflysail
