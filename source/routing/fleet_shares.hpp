#pragma once

#include "common/clock.hpp"
#include "routing/fleet_server_load.hpp"

#include <optional>
#include <span>
#include <vector>

namespace fireflysail
{

/// A server that may be given a request.
struct server_candidate
{
    double slots = 1;
    /// Requests of all instances in flight, as far as is known.
    double in_flight = 0;
    /// Factor of its slots, in (0, 1]: small if it is likely to fail.
    double health = 1;
    /// In the zone of this instance.
    bool is_local = false;
    /// Null while there are no recent counts of it.
    const fleet_server_load* load = nullptr;
    /// Requests at the server by an answer to this instance, if that is newer
    /// than the counts.
    std::optional<double> reported;
    duration report_age{};
};

struct server_share
{
    /// Share of the next requests, in [0, 1].
    double share = 0;
    /// Number of requests by which its turn at this instance is put off, or
    /// brought forward if negative.
    double delay = 0;
};

/// Shares of the next requests that each instance is to send to the candidates,
/// in their order, so that the requests of all instances within `horizon` fill
/// the free slots of each server and not more. The shares add up to one. What
/// servers told this instance alone does not change its shares, only the order.
///
/// Handles many instances that see the same server empty at the same time.
std::vector<server_share>
fleet_shares(std::span<const server_candidate> candidates, duration horizon);

} // namespace fireflysail
