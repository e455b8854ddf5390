#pragma once

#include "common/identifiers.hpp"
#include "control/crash_registry.hpp"
#include "control/engine_prober.hpp"
#include "demand/fleet_demand.hpp"
#include "routing/server_rate_limits.hpp"
#include "store/view_freshness.hpp"

#include <optional>
#include <variant>

namespace fireflysail
{

/// What one instance tells the others of an engine. A hint: it may be lost,
/// late or doubled, and nothing that must hold rests on it.
struct notice
{
    instance_id from;
    server_id server;
    engine_observation news = engine_observation::failed;
    /// The sender knows that it reaches other engines. Not told by earlier
    /// programs.
    bool reaches_others = false;

    bool operator==(const notice&) const = default;
};

/// Tells peers how far an instance has read the store, so that they need not
/// read it as often themselves. See view_freshness.
struct store_progress
{
    instance_id from;
    /// What its views hold; only read from the store itself.
    view_position config;
    view_position servers;
    /// Time since the store itself last confirmed both views; none where that
    /// was long ago.
    std::optional<duration> age;
    /// Whether it holds the lease of the layout.
    bool leads = false;

    bool operator==(const store_progress&) const = default;
};

/// Tells peers of requests that crash engines. See crash_registry.
struct crash_notice
{
    instance_id from;
    crash_news news;

    bool operator==(const crash_notice&) const = default;
};

/// Divides the requests to servers that name a limit. See server_rate_limits.
struct limit_notice
{
    instance_id from;
    limit_message message;

    bool operator==(const limit_notice&) const = default;
};

/// Sums the demand of the fleet. See fleet_demand.
struct demand_notice
{
    instance_id from;
    demand_message message;

    bool operator==(const demand_notice&) const = default;
};

/// Tells peers whether an instance is cut off from all backend servers. Its
/// requests then go to those that are not, and what it says of engines counts
/// for nothing. See reach_monitor.
struct reach_notice
{
    instance_id from;
    bool is_cut_off = false;

    bool operator==(const reach_notice&) const = default;
};

/// One datagram among instances.
using peer_message = std::variant<
    notice,
    store_progress,
    crash_notice,
    limit_notice,
    demand_notice,
    reach_notice>;

const instance_id& sender_of(const peer_message& message);

} // namespace fireflysail
