#pragma once

#include "common/identifiers.hpp"

#include <algorithm>
#include <cstdint>

namespace fireflysail
{

/// Counts of updates that a controller did not apply. An increase of the first
/// two should raise an alert.
struct apply_counters
{
    /// Objects that could not be decoded; the last valid value stays in force.
    std::uint64_t malformed_objects = 0;
    /// Snapshots older than the revision already applied.
    std::uint64_t stale_snapshots = 0;
    /// Events at or before the revision already applied.
    std::uint64_t repeated_events = 0;
};

/// The revision up to which a controller has applied all changes. Never
/// decreases.
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
