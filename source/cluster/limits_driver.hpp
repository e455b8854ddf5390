#pragma once

#include "blackboard/lists.hpp"
#include "blackboard/peers.hpp"
#include "cluster/call_pool.hpp"
#include "cluster/gossip_driver.hpp"
#include "common/clock.hpp"
#include "common/snapshot_cell.hpp"
#include "limits/limit_client.hpp"
#include "limits/limit_owner.hpp"
#include "peer/peer_dispatcher.hpp"
#include "peer/rpc_client.hpp"

#include <optional>
#include <string>

namespace fireflysail
{

/// Carries the messages between the holders and the owners of limits.
class limits_driver
{
public:
    struct parts
    {
        const clock& time;
        rpc_client& client;
        call_pool& calls;
        const snapshot_cell<peers_snapshot>& peers;
        const snapshot_cell<lists_snapshot>& lists;
        const gossip_driver& gossip;
    };

    limits_driver(const instance_id& self, const parts& used);

    void add_handler(peer_dispatcher& dispatcher);

    /// Called every 50 ms.
    void tick();

    /// True once this instance can grant what it owns: before, requests of
    /// those workspaces are refused wherever they arrive.
    bool is_ready() const;

    /// For request threads.
    limit_client& client();

private:
    result<std::string> receive(std::string_view params);
    void send(const outgoing_demand& message);
    void send(const outgoing_claim& message);
    std::optional<endpoint> address_of(const instance_id& id) const;

    const instance_id self;
    parts used;
    limit_client holder;
    limit_owner owner;
};

} // namespace fireflysail
