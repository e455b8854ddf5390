#pragma once

#include "common/identifiers.hpp"
#include "demand/demand_counts.hpp"
#include "limits/demand_meter.hpp"

#include <absl/container/btree_map.h>

namespace fireflysail
{

/// Counts the requests of this instance. Not thread-safe.
class local_demand
{
public:
    /// A request was received.
    void on_arrival(
        const service_id& service,
        std::uint32_t rank,
        const workspace_id& workspace,
        time_point now);

    /// It was refused without having run.
    void
    on_refusal(const service_id& service, std::uint32_t rank, time_point now);

    /// A server of a plain service answered.
    void
    on_answer(const server_id& server, duration response_time, time_point now);

    /// An attempt at a server of a plain service failed.
    void on_failure(const server_id& server, time_point now);

    demand_rows rows(time_point now);

    /// Counts one request in flight until destroyed.
    class in_flight
    {
    public:
        in_flight(local_demand& counts, const demand_key& key);
        ~in_flight();

        in_flight(const in_flight&) = delete;
        in_flight& operator=(const in_flight&) = delete;

    private:
        local_demand& counts;
        const demand_key key;
    };

private:
    struct entry
    {
        int in_flight = 0;
        demand_meter arrivals;
        demand_meter refused;
        demand_meter answered;
        demand_meter failed;
        demand_meter response_time;
    };

    absl::btree_map<demand_key, entry> entries;
};

} // namespace fireflysail
