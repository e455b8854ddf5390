#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "control/layer_coverage.hpp"
#include "control/order_codec.hpp"
#include "store/store.hpp"

#include <map>
#include <vector>

namespace fireflysail
{

/// A leader's cache of the engines' orders in the store. Writes are conditional
/// on the cached version; after a write that is not confirmed the cache is
/// stale and must be loaded again.
class order_cache
{
public:
    explicit order_cache(store& objects);

    bool is_loaded() const;

    /// Loads all orders from the store; false when the store call failed.
    bool load(time_point deadline);

    /// Writes an engine's orders to the store; true when the write is
    /// confirmed.
    bool save(
        const server_id& server,
        const order_object& orders,
        time_point deadline);

    /// Null when the engine has no orders or its stored orders are malformed.
    const order_object* find(const server_id& server) const;

    /// True when the engine's stored orders are malformed; such an engine
    /// receives no orders.
    bool is_malformed(const server_id& server) const;

    std::vector<server_id> servers() const;

    /// Holdings that a pending order may unload, or has unloaded without a
    /// report that shows it yet. For an engine with malformed orders, all its
    /// holdings.
    std::vector<uncertain_holding> uncertain(const fleet_snapshot& fleet) const;

private:
    struct entry
    {
        order_object orders;
        revision version;
        bool malformed = false;
    };

    void add_uncertain(
        const engine& server,
        const entry& known,
        std::vector<uncertain_holding>& uncertain) const;

    store& objects;
    bool loaded = false;
    std::map<server_id, entry> entries;
};

} // namespace fireflysail
