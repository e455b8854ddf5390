#pragma once

#include "blackboard/fleet.hpp"
#include "blackboard/lists.hpp"
#include "blackboard/peers.hpp"
#include "blackboard/traffic_config.hpp"
#include "common/rcu_cell.hpp"

namespace fireflysail
{

/// What the process knows. Each cell has one writing controller; request
/// threads only read.
struct blackboard
{
    rcu_cell<fleet_snapshot> fleet;
    rcu_cell<lists_snapshot> lists;
    rcu_cell<peers_snapshot> peers;
    /// Empty until the first configuration was read.
    rcu_cell<traffic_config> traffic{nullptr};
};

} // namespace fireflysail
