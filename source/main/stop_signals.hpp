#pragma once

#include <chrono>

namespace fireflysail
{

/// SIGTERM and SIGINT, taken by whoever waits for them. Made before any other
/// thread, which then inherits the blocked signals.
class stop_signals
{
public:
    stop_signals();

    /// Waits for the next signal.
    void wait() const;

    /// True if one comes within `limit`.
    bool wait_for(std::chrono::milliseconds limit) const;
};

} // namespace fireflysail
