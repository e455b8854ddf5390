#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/snapshot_cell.hpp"
#include "common/store_era.hpp"
#include "store/store.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// An instance and the address at which it receives notices.
struct peer_instance
{
    instance_id id;
    endpoint address;

    bool operator==(const peer_instance&) const = default;
};

/// Registers this instance in the store and counts the registered instances.
/// Objects of stopped instances are not removed, so the count may be too high.
/// That is the safe error for limits divided among the instances: each share
/// gets smaller. A store that came back from an older copy may lack instances,
/// which register again before a lower count is believed. Used by one thread,
/// except that `count`, `peers`, `has_peer` and `has_host` may be called from
/// any thread.
class instance_registry
{
public:
    static constexpr const char* kind = "instance";

    /// Counts after the first one read `copy`, which may be old.
    instance_registry(
        const peer_instance& self,
        store& objects,
        store& copy,
        const clock& time);

    /// Registers this instance or counts the instances, if due. Blocks on the
    /// store.
    void step();

    /// Returns the number of registered instances; zero before the first count.
    std::size_t count() const;

    /// Returns the other registered instances; some may have stopped.
    std::shared_ptr<const std::vector<peer_instance>> peers() const;

    /// Returns the number of registered peers that come before this instance in
    /// an order that all instances agree on; zero before the first count.
    std::size_t rank() const;

    /// Returns true if the peer comes before this instance in that order.
    bool is_outranked_by(const instance_id& peer) const;

    /// Returns true if a peer with this id is registered at the host.
    bool has_peer(const instance_id& id, std::string_view host) const;

    /// Returns true if any peer is registered at the host.
    bool has_host(std::string_view host) const;

private:
    void register_self(time_point now);
    /// Replaces a registration that is malformed or was written by an earlier
    /// incarnation at another address.
    void update_registration(const stored_object& written, time_point now);
    void count_instances(time_point now);
    /// Whether a list with fewer instances than were counted is used.
    bool is_loss_believed(store_era listed_in, time_point now);

    const peer_instance self;
    store& objects;
    store& copy;
    const clock& time;
    time_point next_count{};
    bool registered = false;
    std::optional<store_era> registered_in;
    /// Of the latest list that was used.
    std::optional<store_era> counted_in;
    /// Since when lists of a later era have shown fewer instances.
    std::optional<time_point> fewer_since;
    std::atomic<std::size_t> counted{0};
    snapshot_cell<std::vector<peer_instance>> known_peers;
};

} // namespace fireflysail
