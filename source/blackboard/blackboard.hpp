#pragma once

#include "blackboard/fleet.hpp"
#include "blackboard/lists.hpp"
#include "blackboard/peers.hpp"
#include "blackboard/traffic_config.hpp"
#include "common/snapshot_cell.hpp"

namespace fireflysail
{

/// What the process knows. Each cell has one writing controller; request
/// threads only read.
struct blackboard
{
    snapshot_cell<fleet_snapshot> fleet;
    snapshot_cell<lists_snapshot> lists;
    snapshot_cell<peers_snapshot> peers;
    /// Empty until the first configuration was read.
    snapshot_cell<traffic_config> traffic{nullptr};
    /// What a restored store holds instead, while it cannot be told whether
    /// that is newer; empty otherwise.
    snapshot_cell<traffic_config> contested{nullptr};
};

} // namespace fireflysail
