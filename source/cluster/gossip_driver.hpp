#pragma once

#include "blackboard/peers.hpp"
#include "cluster/call_pool.hpp"
#include "common/clock.hpp"
#include "common/snapshot_cell.hpp"
#include "limits/ownership.hpp"
#include "membership/membership.hpp"
#include "peer/peer_dispatcher.hpp"
#include "peer/rpc_client.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace fireflysail
{

/// Drives the membership over JSON-RPC and publishes the peers. Thread-safe.
class gossip_driver
{
public:
    struct parts
    {
        const clock& time;
        rpc_client& client;
        call_pool& calls;
        snapshot_cell<peers_snapshot>& board;
    };

    gossip_driver(
        const peer& self,
        const std::vector<endpoint>& seeds,
        std::uint64_t seed,
        const parts& used);

    void add_handler(peer_dispatcher& dispatcher);

    /// Called every 50 ms.
    void tick();

    /// Tells the others that this instance leaves.
    void leave();

    /// Spreads an entry to all instances.
    void share(const shared_entry& entry);

    /// Entries that were new since the last call.
    std::vector<shared_entry> take_new_entries();

    /// True once a peer answered, or none can be found.
    bool is_settled() const;

    limits_view view_for_limits() const;

    /// Live instances, this one included.
    std::size_t live_count() const;

private:
    result<std::string> receive(std::string_view params);
    void send(const outgoing_gossip& message);
    void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    parts used;
    const bool has_seeds;
    mutable absl::Mutex mutex;
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
    membership members ABSL_GUARDED_BY(mutex);
    std::uint64_t published_changes ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace fireflysail
