#pragma once

#include "common/clock.hpp"

#include <chrono>

namespace fireflysail
{

/// Times that owners and holders of leases agree on. Safety rests on the order
/// of the first four; docs/design/limits.md derives it.
struct limit_timing
{
    /// A lease holds for this long after its holder asked for it.
    duration lease = std::chrono::seconds{6};
    /// After that its holder may go on with its equal share for this long.
    duration tail = std::chrono::seconds{3};
    /// A new owner grants nothing for this long after the old one was found
    /// dead; the rest of the old leases' time has passed in finding out.
    duration takeover_wait = std::chrono::milliseconds{3500};
    /// An owner that cannot say when the last lease of another owner was
    /// granted waits for this long.
    duration start_wait = std::chrono::milliseconds{7000};
    /// Slots of running requests of a silent holder stay counted this long.
    duration slot_hold = std::chrono::seconds{30};
    /// A longer gap between two ticks of an owner means that it stood still.
    duration pause = std::chrono::milliseconds{1500};
    /// Between two requests for the same lease while demand is steady.
    duration renewal = std::chrono::seconds{2};
    /// Between two messages from an instance to the same owner.
    duration message_spacing = std::chrono::milliseconds{50};
    /// An owner that has not answered by then is asked again.
    duration reply_timeout = std::chrono::milliseconds{150};
    /// A single permit is used within this time or returned.
    duration permit = std::chrono::milliseconds{100};
    /// A workspace without demand gives its lease back after this.
    duration idle = std::chrono::seconds{1};
};

} // namespace fireflysail
