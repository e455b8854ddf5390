#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "routing/fleet_server_load.hpp"
#include "routing/fleet_shares.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace fireflysail
{

enum class server_outcome
{
    answered,
    /// The server refused for lack of capacity; nothing ran.
    refused,
    failed,
};

/// Chooses among the servers of a plain service by their expected wait. With
/// recent counts of the whole fleet, requests are drawn by what the servers
/// carry and lack over all instances. Without them, the wait is estimated from
/// this instance's requests in flight, the load reported in answers, and recent
/// failures, which health checks do not show. Intended for services with few
/// servers of few slots, where one server may become slow or fail part of its
/// requests. Not thread-safe.
class server_balancer
{
public:
    /// Returns null if no server of the service is usable.
    const service_server* choose(
        const fleet_snapshot& fleet,
        const service_id& service,
        const zone_id& own_zone,
        std::span<const server_id> excluded,
        time_point now,
        std::mt19937_64& random);

    void on_sent(const server_id& server, time_point now);

    void on_ended(
        const server_id& server,
        server_outcome outcome,
        duration response_time,
        time_point now);

    /// The request was cancelled, which says nothing of the server.
    void on_cancelled(const server_id& server, time_point now);

    /// Another instance heard that the server leaves: it is used only where the
    /// others are much worse.
    void on_leaving_hint(const server_id& server, time_point now);

    /// Stores the load that the server reported over all its callers.
    void on_load(
        const server_id& server,
        std::uint32_t running,
        std::uint32_t waiting,
        time_point now);

    /// Stores the counts of the server over all instances, which were taken at
    /// `measured_at` on the mean.
    void set_fleet_counts(
        const server_id& server,
        const fleet_server_counts& counts,
        time_point measured_at);

    /// Requests of this instance in flight at the server.
    std::uint32_t in_flight(const server_id& server) const;

    /// Whether the server has a free slot, as far as known.
    bool has_room(const service_server& server, time_point now) const;

    /// Whether the servers of the service that are in use have a free slot
    /// among them, as far as known.
    bool has_room(
        const fleet_snapshot& fleet,
        const service_id& service,
        time_point now) const;

    /// Smoothed response time of the server; nothing while unknown.
    std::optional<duration> response_time(const server_id& server) const;

private:
    struct record
    {
        std::uint32_t in_flight = 0;
        std::uint32_t reported_load = 0;
        time_point load_reported_at{};
        /// Smoothed fraction of requests that failed or were refused.
        double failure_rate = 0;
        time_point failure_rate_updated_at{};
        /// Smoothed response time in seconds; zero while unknown.
        double response_seconds = 0;
        fleet_server_load fleet;
        /// Requests that it is to get minus those that it got; none before it
        /// is first chosen among.
        std::optional<double> credit;
    };

    /// Chooses by what this instance has seen alone.
    const service_server* choose_by_own(
        std::span<const service_server* const> usable,
        const zone_id& own_zone,
        time_point now,
        std::mt19937_64& random) const;

    /// Chooses by the counts of the whole fleet.
    const service_server* choose_by_fleet(
        std::span<const service_server* const> usable,
        const zone_id& own_zone,
        time_point now,
        std::mt19937_64& random);

    server_candidate candidate_of(
        const service_server& server,
        const zone_id& own_zone,
        time_point now) const;

    double cost(
        const service_server& server,
        const zone_id& own_zone,
        time_point now) const;

    /// Requests at the server: those that it reported lately, or else those of
    /// this instance.
    static std::uint32_t load_of(const record& known, time_point now);

    absl::flat_hash_map<server_id, record> records;
};

} // namespace fireflysail
