#pragma once

#include "limits/client_workspace.hpp"
#include "limits/limit_messages.hpp"
#include "limits/limit_timing.hpp"
#include "limits/ownership.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <vector>

namespace fireflysail
{

/// Message to send to `to`, which may be this instance. Its reply must be
/// passed to limit_client::receive.
struct outgoing_demand
{
    instance_id to;
    demand_message message;
};

/// Admits requests within the leases that the owners granted to this instance,
/// and requests leases to match its demand. Thread-safe: a request locks one of
/// several shards for a few arithmetic operations. The caller does all I/O, so
/// no lock is held during I/O.
class limit_client
{
public:
    explicit limit_client(const instance_id& self, limit_timing timing = {});

    /// Called by request threads. If granted, `finish` must be called when the
    /// request has ended.
    limit_outcome try_acquire(
        const workspace_id& workspace,
        token_count cost,
        time_point now,
        attempt_kind attempt = attempt_kind::first);

    void finish(const workspace_id& workspace, time_point now);

    /// Returns tokens that were charged at the start but not used.
    void give_back(
        const workspace_id& workspace, token_count unused, time_point now);

    std::uint32_t running(const workspace_id& workspace) const;

    /// Called by the control thread at each change of the membership.
    void update_view(const limits_view& view);

    /// Called by the control thread every few tens of milliseconds. Returns the
    /// messages to send.
    std::vector<outgoing_demand> tick(time_point now);

    /// Applies a reply from `reply.owner`. Late and duplicate replies are
    /// ignored.
    void receive(const lease_message& reply, time_point now);

private:
    static constexpr std::size_t shard_count = 16;

    struct entry
    {
        client_workspace state;
        /// Empty until the first tick after the entry was created.
        instance_id owner;
    };

    struct shard
    {
        mutable std::mutex mutex;
        absl::flat_hash_map<workspace_id, entry> entries;
    };

    struct owner_link
    {
        std::uint64_t sequence = 0;
        std::uint64_t last_reply = 0;
        /// Time at which the unanswered message was sent, if there is one.
        std::optional<time_point> in_flight;
        std::vector<workspace_id> asked;
    };

    shard& shard_of(const workspace_id& workspace);
    const shard& shard_of(const workspace_id& workspace) const;
    bool is_ready(const instance_id& owner, time_point now) const;

    const instance_id self;
    const limit_timing timing;
    std::array<shard, shard_count> shards;
    std::mutex control;
    limits_view view;
    absl::flat_hash_map<instance_id, owner_link> links;
    /// Shared by all owners, so that an owner whose link was dropped never sees
    /// a sequence number twice.
    std::uint64_t last_sequence = 0;
};

} // namespace fireflysail
