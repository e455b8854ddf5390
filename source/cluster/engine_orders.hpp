#pragma once

#include "backend/engine_api.hpp"
#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/snapshot_cell.hpp"
#include "control/order_sink.hpp"
#include "control/placement.hpp"

#include <string>
#include <vector>

namespace fireflysail
{

/// Sends orders to engines over their API.
class engine_orders final : public order_sink
{
public:
    engine_orders(
        const clock& time,
        engine_api& engines,
        const snapshot_cell<fleet_snapshot>& fleet);

    result<void> send(const engine_order& order, time_point not_after) override;

private:
    const clock& time;
    engine_api& engines;
    const snapshot_cell<fleet_snapshot>& fleet;
};

/// Body of an order, as docs/protocols/engines.md says.
std::string encode(const engine_order& order);

/// Streams that the engines report for each model version, counted where most
/// of them are: every stream passes all layers.
std::vector<model_demand> reported_demand(const fleet_snapshot& fleet);

} // namespace fireflysail
