#pragma once

#include "blackboard/fleet.hpp"
#include "cluster/engine_orders.hpp"
#include "cluster/gossip_driver.hpp"
#include "common/clock.hpp"
#include "common/snapshot_cell.hpp"
#include "control/lease_client.hpp"
#include "control/order_controller.hpp"

#include <optional>
#include <string>

namespace fireflysail
{

/// Leads the orders to engines while this instance holds their lease. Used by
/// one thread.
class order_duty
{
public:
    struct parts
    {
        const clock& time;
        store& objects;
        engine_api& engines;
        const snapshot_cell<fleet_snapshot>& fleet;
        const gossip_driver& gossip;
    };

    order_duty(const instance_id& self, const parts& used);

    /// Called a few times a second.
    void tick();

    /// Gives the lease back.
    void release();

    bool leads() const;

private:
    bool is_candidate() const;

    const instance_id self;
    parts used;
    engine_orders sink;
    lease_client lease;
    order_controller orders;
    time_point next_step{};
};

} // namespace fireflysail
