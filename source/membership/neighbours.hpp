#pragma once

#include "blackboard/peers.hpp"

#include <vector>

namespace fireflysail
{

/// The peers that `self` exchanges probes with: its two adjacent instances on a
/// ring of its availability zone and on a ring of the whole fleet, each ordered
/// by a hash. The relation is symmetric: a neighbour's neighbours include this
/// instance. Most links stay within the zone, and all zones are connected.
std::vector<instance_id>
neighbours_of(const peer& self, const std::vector<peer>& others);

} // namespace fireflysail
