#pragma once

#include "common/clock.hpp"

#include <chrono>

namespace fireflysail
{

/// Durations that owners and holders of leases share. Staying within the plan
/// depends on the relation between the first four, which docs/design/limits.md
/// derives.
struct limit_timing
{
    /// Validity of a lease, counted from the time at which its holder asked for
    /// it.
    duration lease = std::chrono::seconds{6};
    /// After the lease has expired, its holder may use its equal share for this
    /// long.
    duration tail = std::chrono::seconds{3};
    /// A new owner grants nothing for this long after the previous owner was
    /// declared dead. The rest of the old leases' validity has passed by then,
    /// during failure detection.
    duration takeover_wait = std::chrono::milliseconds{3500};
    /// Waiting time of an owner that does not know when another owner granted
    /// its last lease.
    duration start_wait = std::chrono::milliseconds{7000};
    /// Slots of running requests count as in use for this long after the last
    /// message from their holder.
    duration slot_hold = std::chrono::seconds{30};
    /// A longer gap between two ticks of an owner means that its process was
    /// paused.
    duration pause = std::chrono::milliseconds{1500};
    /// Interval between renewals of a lease while demand is steady.
    duration renewal = std::chrono::seconds{2};
    /// Minimum interval between two messages from an instance to the same
    /// owner.
    duration message_spacing = std::chrono::milliseconds{50};
    /// An owner that has not replied within this time is asked again.
    duration reply_timeout = std::chrono::milliseconds{150};
    /// Validity of a single permit. An unused one is then returned.
    duration permit = std::chrono::milliseconds{100};
    /// A workspace without demand returns its lease after this time.
    duration idle = std::chrono::seconds{1};
};

} // namespace fireflysail
