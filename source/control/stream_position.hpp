#pragma once

#include "common/identifiers.hpp"

#include <algorithm>
#include <cstdint>

namespace fireflysail
{

/// Counts of what a controller refused to apply; any growth of the first two
/// is worth an alert.
struct apply_counters
{
    /// Objects that did not decode; the last good value stays in force.
    std::uint64_t malformed_objects = 0;
    /// Snapshots older than what is already applied.
    std::uint64_t stale_snapshots = 0;
    /// Events that had been applied before.
    std::uint64_t repeated_events = 0;
};

/// The revision through which a controller has applied everything. Moves only
/// forward.
class stream_position
{
public:
    revision current() const noexcept
    {
        return this->applied;
    }

    bool covers(revision version) const noexcept
    {
        return version <= this->applied;
    }

    void advance_to(revision version) noexcept
    {
        this->applied = std::max(this->applied, version);
    }

private:
    revision applied;
};

} // namespace fireflysail
