#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail
{

/// A number of requests and of tokens: per second for a rate, absolute for a
/// burst.
struct limit_rates
{
    double requests = 0;
    double tokens = 0;

    bool operator==(const limit_rates&) const = default;
};

/// Single permits. The first is valid `delay` after the grant, the others
/// follow at equal intervals.
struct permit_block
{
    std::uint32_t count = 0;
    /// Number of tokens that each permit covers.
    std::uint64_t cost = 0;
    duration delay{};
    duration spacing{};

    bool operator==(const permit_block&) const = default;
};

/// The part of one workspace's plan that an instance holds and the part that it
/// needs.
struct workspace_demand
{
    workspace_id workspace;
    /// Rates in use from now on. Anything held above them is returned.
    limit_rates held;
    limit_rates held_burst;
    limit_rates wanted;
    /// Slots of running requests plus idle slots that the instance keeps.
    std::uint32_t held_slots = 0;
    std::uint32_t wanted_slots = 0;
    std::uint32_t running = 0;
    /// Requests refused since the last message. They may be granted single
    /// permits.
    std::uint32_t waiting_requests = 0;
    std::uint64_t largest_cost = 0;
    /// Number of unused permits of the last reply received.
    std::uint32_t returned_permits = 0;

    bool operator==(const workspace_demand&) const = default;
};

/// Sent by an instance to the owner of some workspaces. The instance accepts a
/// reply only to its newest message, so the owner may rely on `held`.
struct demand_message
{
    instance_id from;
    /// Increases with each message from this instance to this owner.
    std::uint64_t sequence = 0;
    /// Sequence number of the newest message whose reply was received.
    std::uint64_t last_reply = 0;
    std::vector<workspace_demand> demands;

    bool operator==(const demand_message&) const = default;
};

enum class lease_status
{
    granted,
    /// The owner may not grant yet, as leases of a previous owner may still be
    /// in use.
    waiting,
    /// In the view of the replying instance, another instance owns the
    /// workspace.
    not_owner,
};

struct workspace_lease
{
    workspace_id workspace;
    lease_status status = lease_status::granted;
    limit_rates rates;
    limit_rates burst;
    /// Rates that the holder may use for the tail period after the lease has
    /// expired.
    limit_rates tail;
    std::uint32_t slots = 0;
    permit_block permits;
    /// Time to wait before asking again if the lease is too small.
    duration retry_after{};

    bool operator==(const workspace_lease&) const = default;
};

struct lease_message
{
    instance_id owner;
    /// Sequence number of the message that this replies to.
    std::uint64_t sequence = 0;
    std::vector<workspace_lease> leases;

    bool operator==(const lease_message&) const = default;
};

/// Sent by a new owner to the previous owner, asking for a handover of
/// workspaces.
struct claim_message
{
    instance_id from;
    std::uint64_t sequence = 0;
    std::vector<workspace_id> workspaces;

    bool operator==(const claim_message&) const = default;
};

struct lease_holder
{
    instance_id holder;
    limit_rates rates;
    limit_rates burst;
    std::uint32_t slots = 0;
    duration remaining{};

    bool operator==(const lease_holder&) const = default;
};

/// A workspace whose owner has stopped granting leases, with the leases still
/// in use.
struct released_workspace
{
    workspace_id workspace;
    std::vector<lease_holder> holders;

    bool operator==(const released_workspace&) const = default;
};

struct claim_reply
{
    std::uint64_t sequence = 0;
    std::vector<released_workspace> released;
    /// Workspaces that the replying instance still owns in its own view.
    std::vector<workspace_id> kept;

    bool operator==(const claim_reply&) const = default;
};

} // namespace fireflysail
