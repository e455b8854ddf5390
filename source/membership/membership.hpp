#pragma once

#include "blackboard/peers.hpp"
#include "common/clock.hpp"
#include "membership/member_table.hpp"
#include "membership/membership_messages.hpp"
#include "membership/membership_timing.hpp"
#include "membership/shared_entries.hpp"
#include "membership/update_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fireflysail
{

/// A call to send to `to`. Its result must be passed to reply_received or
/// failed with the token.
struct outgoing_gossip
{
    std::uint64_t token = 0;
    endpoint to;
    gossip_request request;
};

/// Membership protocol after SWIM. Neighbours probe one another, directly and
/// through other instances. One that shows no activity is suspected, and
/// declared dead unless it refutes the suspicion with a higher incarnation.
/// Updates are pushed to a few instances and piggybacked on probes. A state
/// machine without threads or I/O: not thread-safe, the caller must serialise
/// the calls.
class membership
{
public:
    /// `self.life` is the instance's first incarnation. It must be higher than
    /// that of any earlier process at this address.
    membership(
        const peer& self, membership_timing timing, std::mt19937_64& random);

    /// Adds addresses at which peers may be found: seeds, or the platform's
    /// list.
    void add_hints(const std::vector<endpoint>& addresses);

    /// Takes the platform's list of live instances. The list lags, so it never
    /// makes a peer alive or dead, but a dead peer that is not listed is
    /// confirmed gone.
    void update_instance_list(const std::vector<endpoint>& addresses);

    /// Must be called about every 50 ms and after each call below. Returns the
    /// messages to send.
    std::vector<outgoing_gossip> tick(time_point now);

    gossip_reply receive(const gossip_request& request, time_point now);

    /// Late replies are accepted too.
    void reply_received(
        std::uint64_t token, const gossip_reply& reply, time_point now);

    void failed(std::uint64_t token);

    /// Announces at the next ticks that this instance leaves.
    void leave();

    /// Distributes an entry to all instances.
    void share(const shared_entry& entry, time_point now);

    /// Returns entries that were added since the last call, by this instance or
    /// others.
    std::vector<shared_entry> take_new_entries(time_point now);

    std::vector<shared_entry> entries(time_point now) const;

    peers_snapshot snapshot() const;

    /// Counter that increases whenever the snapshot changes.
    std::uint64_t changes() const;

    const peer& self() const;

    /// True once a peer has answered, or none was found within the join time
    /// limit.
    bool is_settled() const;

    /// Number of instances that may be running: this one, the live ones, and
    /// the dead ones that are not confirmed gone.
    std::size_t fleet_size() const;

private:
    struct pending_call
    {
        gossip_kind kind = gossip_kind::probe;
        instance_id target;
        endpoint to;
        time_point sent_at{};
        /// The instance that requested this indirect probe, if any.
        std::optional<instance_id> on_behalf_of;
    };

    struct neighbour_watch
    {
        duration jitter{};
        unsigned rounds = 0;
        time_point next_round{};
    };

    // Sending and receiving, in membership.cpp.
    gossip_request make_request(gossip_kind kind, const instance_id& receiver);
    void send(
        const endpoint& to,
        gossip_request request,
        time_point now,
        std::optional<instance_id> on_behalf_of = std::nullopt);
    void add_updates(
        const instance_id& receiver,
        std::vector<peer>& updates,
        std::vector<shared_entry>& entries,
        time_point now);
    void add_entry(
        const std::string& name,
        std::size_t& bytes_left,
        std::vector<shared_entry>& entries,
        time_point now);
    void learn(
        const std::vector<peer>& updates,
        const std::vector<shared_entry>& entries,
        time_point now);
    void learn_record(peer record, time_point now);
    void refute(const peer& record);
    void queue_update(const instance_id& id);
    void
    compare(const instance_id& other, std::uint64_t digest, time_point now);
    void complete_sync(
        const endpoint& to, const gossip_reply& reply, time_point now);
    void fill_reply(
        const gossip_request& request, gossip_reply& reply, time_point now);
    sync_digests digests() const;
    std::uint64_t digest() const;
    std::size_t live_count() const;

    // Timed activities, in membership_probing.cpp.
    void resume_after_pause(time_point now);
    void expire_calls(time_point now);
    void refresh_neighbours(time_point now);
    void
    watch_zones_with_suspects(std::vector<instance_id>& chosen, time_point now);
    void send_join_requests(time_point now);
    void recontact_lost_peers(time_point now);
    void watch_neighbours(time_point now);
    void
    probe_round(const member& target, neighbour_watch& watch, time_point now);
    void suspect(const instance_id& id, time_point now);
    void expire_suspects(time_point now);
    void sync_differing(time_point now);
    void push_updates(time_point now);
    std::vector<peer> push_targets();
    std::vector<peer> random_sample(std::vector<peer> from, std::size_t count);
    duration random_jitter();

    peer own_record;
    const membership_timing timing;
    std::mt19937_64& random;
    member_table table;
    shared_entries shared;
    update_queue member_updates;
    update_queue entry_updates;
    std::vector<std::string> new_entry_keys;
    std::vector<endpoint> hints;
    std::vector<outgoing_gossip> outbox;
    std::map<std::uint64_t, pending_call> pending;
    std::uint64_t last_token = 0;
    std::map<instance_id, neighbour_watch> watches;
    std::uint64_t watched_changes = 0;
    std::map<instance_id, time_point> differs_since;
    std::uint64_t own_changes = 0;
    unsigned pushes_due = 0;
    bool settled = false;
    std::optional<time_point> started_at;
    std::optional<time_point> last_tick;
    time_point next_join{};
    time_point next_recontact{};
    time_point next_push{};
    time_point next_sync{};
};

} // namespace fireflysail
