#pragma once

#include "blackboard/peers.hpp"
#include "common/clock.hpp"
#include "common/snapshot_cell.hpp"
#include "control/fleet_controller.hpp"
#include "control/lists_controller.hpp"
#include "peer/peer_dispatcher.hpp"
#include "peer/rpc_client.hpp"

namespace fireflysail
{

/// Gives the newest lists and marks to starting instances, and takes them from
/// peers while the store does not answer.
class list_handover
{
public:
    list_handover(
        rpc_client& client,
        const snapshot_cell<peers_snapshot>& peers,
        lists_controller& lists,
        fleet_controller& fleet);

    void add_handlers(peer_dispatcher& dispatcher);

    /// Asks one peer after the other until one has something newer; true then.
    bool take_from_peers();

private:
    rpc_client& client;
    const snapshot_cell<peers_snapshot>& peers;
    lists_controller& lists;
    fleet_controller& fleet;
};

} // namespace fireflysail
