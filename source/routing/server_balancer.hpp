#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace fireflysail
{

enum class server_outcome
{
    answered,
    /// It refused for lack of room; nothing ran.
    refused,
    failed,
};

/// Chooses among the servers of a plain service by expected wait: own work in
/// flight, the load that answers carried, and recent failures, which health
/// checks do not show. Answers the load pattern of few servers with few slots,
/// of which one turns slow or fails part of its requests.
class server_balancer
{
public:
    /// Null when no server of the service is usable.
    const service_server* choose(
        const fleet_snapshot& fleet,
        const service_id& service,
        const zone_id& own_zone,
        std::span<const server_id> excluded,
        time_point now,
        std::mt19937_64& random);

    void on_sent(const server_id& server);

    void on_ended(
        const server_id& server,
        server_outcome outcome,
        duration response_time,
        time_point now);

    /// Load that the server reported of all callers together.
    void on_load(
        const server_id& server,
        std::uint32_t running,
        std::uint32_t waiting,
        time_point now);

    /// Own requests in flight.
    std::uint32_t in_flight(const server_id& server) const;

private:
    struct record
    {
        std::uint32_t in_flight = 0;
        std::uint32_t reported = 0;
        time_point reported_at{};
        /// Smoothed part of requests that failed or were refused.
        double failure_rate = 0;
        time_point failed_at{};
        /// Smoothed response time in seconds; zero while unknown.
        double response_seconds = 0;
    };

    double cost(
        const service_server& server,
        const zone_id& own_zone,
        time_point now) const;

    absl::flat_hash_map<server_id, record> records;
};

} // namespace fireflysail
