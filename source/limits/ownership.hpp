#pragma once

#include "common/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail
{

/// The part of the membership view that limits need.
struct limits_view
{
    instance_id self;
    /// Peers that may own a workspace, and `self`.
    std::vector<instance_id> live;
    /// Peers that left recently and can still hand over workspaces.
    std::vector<instance_id> departing;
    /// Number of instances that may still be running. Includes those declared
    /// dead until the platform confirms that they are gone. Never below the
    /// size of `live`.
    std::uint32_t fleet_size = 1;

    bool operator==(const limits_view&) const = default;
};

/// The owner of `workspace` by rendezvous hashing. `live` must not be empty.
const instance_id&
owner_of(const workspace_id& workspace, const std::vector<instance_id>& live);

/// Fraction of each plan that the live instances may use together. The rest
/// belongs to instances that may still run on the other side of a network
/// partition.
double live_fraction(const limits_view& view);

} // namespace fireflysail
