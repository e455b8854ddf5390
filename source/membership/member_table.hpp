#pragma once

#include "blackboard/peers.hpp"
#include "common/clock.hpp"
#include "membership/membership_messages.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace fireflysail
{

/// The record of a peer and the local observations about it.
struct member
{
    peer record;
    time_point state_since{};
    /// Time of the last sign of activity that this instance received.
    time_point heard_at{};
    /// The peer is confirmed not to run any more: it is missing from the
    /// platform's list read after its death, or another process has its
    /// address.
    bool confirmed_gone = false;
};

/// True if `next` is newer than `known`: it has a higher incarnation, or the
/// same one with a later state in the order alive, suspect, dead, left.
bool is_newer(const peer& next, const peer& known);

/// The peers known to one instance, without the instance itself.
class member_table
{
public:
    using container = std::map<instance_id, member>;

    /// Stores the record if it is newer, and returns whether it was. The record
    /// of a new process at the address of an older one marks the older one as
    /// dead.
    bool merge(const peer& record, time_point now);

    /// Another process has been found at the address of `old`: marks `old` as
    /// dead and confirmed gone. Returns false if it was not live.
    bool replace(const instance_id& old, time_point now);

    /// Sets the state of a known peer without changing its incarnation.
    void set_state(const instance_id& id, peer_state state, time_point now);

    void heard(const instance_id& id, time_point now);

    /// Treats all peers as heard from now, and restarts the suspicion time of
    /// suspects.
    void mark_all_heard(time_point now);

    member* find(const instance_id& id);
    const member* find(const instance_id& id) const;
    bool knows_address(const endpoint& address) const;

    /// Alive or suspect.
    std::vector<peer> live() const;
    std::size_t live_count() const;
    /// All known records in any state.
    std::vector<peer> records() const;
    std::vector<peer> in_state(peer_state state) const;
    /// All records in these buckets, except peers that died or left some time
    /// ago: if their records were passed on, they would never be forgotten.
    std::vector<peer>
    in_buckets(const sync_digests& differing, time_point now) const;

    /// Marks dead peers whose address is not listed as confirmed gone.
    void confirm(const std::vector<endpoint>& listed);

    /// Number of dead peers that may still be running but unreachable.
    std::size_t unconfirmed_dead() const;

    /// Removes dead peers and peers that left after the given times.
    void forget(duration dead_memory, duration left_memory, time_point now);

    /// Adds the live peers to the digests.
    void add_to(sync_digests& digests) const;

    /// Counter that increases with each change that is visible in a snapshot.
    std::uint64_t changes() const;

private:
    container members;
    std::uint64_t change_count = 0;
};

bool is_live(peer_state state);

} // namespace fireflysail
