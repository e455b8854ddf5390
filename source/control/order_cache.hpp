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

/// One leader's copy of the engines' orders in the store. Writes are
/// conditional on the copy; after one that is not confirmed the copy is stale
/// and has to be loaded again.
class order_cache
{
public:
    explicit order_cache(store& objects);

    bool is_loaded() const;

    /// Takes a new copy; false when the store gave none.
    bool load(time_point deadline);

    /// Writes an engine's orders; true once confirmed.
    bool save(
        const server_id& server,
        const order_object& orders,
        time_point deadline);

    /// Null when the engine has no orders, or unreadable ones.
    const order_object* find(const server_id& server) const;

    /// True when the engine's orders cannot be read; it is left alone.
    bool is_malformed(const server_id& server) const;

    std::vector<server_id> servers() const;

    /// Holdings that orders may end, or have ended without a report so far; all
    /// holdings of an engine whose orders cannot be read.
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
