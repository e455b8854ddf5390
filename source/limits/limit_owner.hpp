#pragma once

#include "blackboard/lists.hpp"
#include "limits/limit_messages.hpp"
#include "limits/limit_timing.hpp"
#include "limits/owner_workspace.hpp"
#include "limits/ownership.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace fireflysail
{

/// Message to send to `to`. Its reply must be passed to limit_owner::receive.
struct outgoing_claim
{
    instance_id to;
    claim_message message;
};

/// Grants leases of the workspaces that this instance owns. Two instances may
/// each consider themselves the owner of a workspace. For this reason an owner
/// grants only after every lease of a previous owner has expired or was handed
/// over, and grants only the fraction of the plan that corresponds to the live
/// part of the fleet. Thread-safe.
class limit_owner
{
public:
    explicit limit_owner(const instance_id& self, limit_timing timing = {});

    /// Must be called at each change of the membership. Passing an unchanged
    /// view is cheap.
    void update_view(const limits_view& view, time_point now);

    void
    update_lists(std::shared_ptr<const lists_snapshot> lists, time_point now);

    /// The reply contains no leases if the message is a duplicate or older than
    /// the newest one.
    lease_message answer(const demand_message& message, time_point now);

    /// Must be called every few tens of milliseconds. Returns the claims that
    /// are due, addressed to the previous owners. A pause between two ticks is
    /// treated like a start, as another owner may have granted leases in
    /// between.
    std::vector<outgoing_claim> tick(time_point now);

    claim_reply answer(const claim_message& claim, time_point now);

    /// Applies a reply from `from`. Late and duplicate replies are ignored.
    void
    receive(const instance_id& from, const claim_reply& reply, time_point now);

    /// True once this instance may grant leases of all workspaces that it owns.
    bool has_authority(time_point now) const;

    /// Frees the share of an instance that, according to the platform, no
    /// longer exists.
    void forget(const instance_id& gone);

private:
    struct owned_workspace
    {
        owner_workspace leases;
        /// No lease is granted before this time.
        time_point authority_at{};
        /// The previous owner, if it can be asked for a handover.
        std::optional<instance_id> claim_from;
    };

    struct released_record
    {
        owner_workspace leases;
        time_point released_at{};
        /// The instance that the workspace was handed over to. No other gets
        /// it.
        std::optional<instance_id> claimed_by;
    };

    struct claim_link
    {
        std::uint64_t sequence = 0;
        std::optional<time_point> in_flight;
    };

    void detect_pause(time_point now);
    void reassign(const limits_view& previous, time_point now);
    void take_over(
        const workspace_id& workspace,
        const limits_view& previous,
        time_point now);
    void release(const workspace_id& workspace, time_point now);
    workspace_lease answer_one(
        const demand_message& message,
        const workspace_demand& demand,
        time_point now);
    void update_fraction(time_point now);
    limit_pool pool_of(const entitlement_entry& entitlement) const;

    const instance_id self;
    const limit_timing timing;
    mutable std::mutex mutex;
    limits_view view;
    std::optional<time_point> ticked_at;
    /// Fraction of each plan that may be granted. It is lowered as soon as the
    /// view changes, and raised only after the leases of the lost part of the
    /// fleet have expired.
    double fraction = 0;
    std::optional<time_point> fraction_rises_at;
    std::shared_ptr<const lists_snapshot> lists;
    absl::flat_hash_map<workspace_id, owned_workspace> owned;
    absl::flat_hash_map<workspace_id, released_record> released;
    absl::flat_hash_map<instance_id, std::uint64_t> newest_message;
    absl::flat_hash_map<instance_id, claim_link> claims;
};

} // namespace fireflysail
