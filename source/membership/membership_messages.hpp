#pragma once

#include "blackboard/peers.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflysail
{

inline constexpr std::size_t sync_bucket_count = 16;

/// Hashes of the known state, one per bucket, to find the buckets that differ.
using sync_digests = std::array<std::uint64_t, sync_bucket_count>;

/// A value of another subsystem that is distributed to all instances. The
/// newest version of each key wins.
struct shared_entry
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    /// Time until the entry expires.
    duration remaining{};

    bool operator==(const shared_entry&) const = default;
};

enum class gossip_kind
{
    probe,
    /// Asks the receiver to probe `subject` and to report the result.
    indirect_probe,
    /// Reports that `subject` answered an indirect probe.
    indirect_result,
    /// Carries updates only.
    push,
    /// Asks for everything that the receiver knows.
    join,
    /// Asks for the contents of the buckets that differ from `digests`.
    sync,
};

struct gossip_request
{
    gossip_kind kind = gossip_kind::probe;
    instance_id sender;
    incarnation sender_incarnation;
    /// Empty if only the receiver's address is known.
    instance_id receiver;
    instance_id subject;
    incarnation subject_incarnation;
    /// Hash of the sender's known state.
    std::uint64_t digest = 0;
    std::vector<peer> updates;
    std::vector<shared_entry> entries;
    /// Set in a sync request, otherwise all zero.
    sync_digests digests{};
};

struct gossip_reply
{
    instance_id sender;
    incarnation sender_incarnation;
    std::uint64_t digest = 0;
    /// The replying instance does not know the sender of the request, which
    /// should send its own record.
    bool is_stranger = false;
    std::vector<peer> updates;
    std::vector<shared_entry> entries;
};

} // namespace fireflysail
