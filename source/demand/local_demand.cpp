#include "demand/local_demand.hpp"

#include <chrono>
#include <iterator>

namespace fireflysail
{

void local_demand::on_arrival(
    const service_id& service,
    std::uint32_t rank,
    const workspace_id& workspace,
    time_point now)
{
    this->entries[service_rank_key(service.str(), rank)].arrivals.add(1, now);
    if (!workspace.empty())
    {
        this->entries[workspace_key(workspace.str())].arrivals.add(1, now);
    }
}

void local_demand::on_refusal(
    const service_id& service, std::uint32_t rank, time_point now)
{
    this->entries[service_rank_key(service.str(), rank)].refused.add(1, now);
}

void local_demand::on_answer(
    const server_id& server, duration response_time, time_point now)
{
    entry& known = this->entries[plain_server_key(server.str())];
    known.answered.add(1, now);
    known.response_time.add(
        std::chrono::duration<double>{response_time}.count(), now);
}

void local_demand::on_failure(const server_id& server, time_point now)
{
    this->entries[plain_server_key(server.str())].failed.add(1, now);
}

demand_rows local_demand::rows(time_point now)
{
    demand_rows all;
    for (auto each = this->entries.begin(); each != this->entries.end();)
    {
        const entry& known = each->second;
        const demand_counts counts{
            static_cast<double>(known.in_flight),
            known.arrivals.per_second(now),
            known.refused.per_second(now),
            known.answered.per_second(now),
            known.failed.per_second(now),
            known.response_time.per_second(now)};
        const bool is_idle = counts == demand_counts{};
        if (!is_idle)
        {
            all.emplace(each->first, counts);
        }
        // Servers come and go; a row without counts is made again if needed.
        each = is_idle ? this->entries.erase(each) : std::next(each);
    }
    return all;
}

local_demand::in_flight::in_flight(local_demand& counts, const demand_key& key)
    : counts{counts}
    , key{key}
{
    ++this->counts.entries[this->key].in_flight;
}

local_demand::in_flight::~in_flight()
{
    --this->counts.entries[this->key].in_flight;
}

} // namespace fireflysail
