#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"
#include "settings/object_reader.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fireflysail
{

/// Calls a second that the store takes from all instances together.
struct store_rates
{
    double reads = 2000;
    double writes = 400;
};

/// Promises to operators and callers that the platform states in figures.
struct service_bounds
{
    /// A leaving backend server gets no request later than this after the
    /// store acknowledged its leaving.
    duration drain = std::chrono::seconds{2};
    /// From the request to stop until the process is killed.
    duration stop_grace = std::chrono::seconds{8};
    /// Until a new configuration is in force.
    duration config_in_force = std::chrono::seconds{2};
    /// Retries, as a share of the requests for a service, and the number on
    /// top of it, in each window over all instances.
    double retry_share = 0.2;
    double retry_slack = 200;
    duration retry_window = std::chrono::seconds{10};
    /// A stage that hangs holds up its streams this long before they are cut.
    duration stage_stall = std::chrono::seconds{2};
    /// Interval at which backend servers renew their entries in the store.
    duration server_heartbeat = std::chrono::milliseconds{1200};

    bool operator==(const service_bounds&) const = default;
};

/// What an instance on the platform is told when it starts.
struct node_settings
{
    instance_id self;
    zone_id zone;
    region_id region;
    /// Requests of callers.
    endpoint callers;
    /// Asked by the balancer whether the instance takes new connections.
    endpoint readiness;
    /// Metrics; without a port the role has no such address.
    endpoint control;
    /// Metrics at a port that is the same on all instances; none if zero.
    int metrics_port = 0;
    /// Second copies of idempotent requests, as a share of the requests for a
    /// service in each window, over all instances; none if zero.
    double hedge_limit = 0;
    /// Datagrams of other instances; without a port none are sent or taken.
    endpoint notices;
    endpoint store;
    store_rates rates;
    service_bounds bounds;
    byte_count memory;
    std::uint32_t descriptors = 1024;
    std::vector<endpoint> seeds;
};

using node_settings_outcome =
    std::variant<node_settings, std::vector<settings_mistake>>;

} // namespace fireflysail
