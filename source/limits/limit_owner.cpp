#include "limits/limit_owner.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace fireflysail
{

namespace
{

// Fraction of each plan that is granted. The rest of the plan, and the 1%
// excess that is allowed within any 10 s, cover bursts and permits in transit.
constexpr double granted_fraction = 0.97;
constexpr duration release_record_lifetime = std::chrono::seconds{10};
constexpr duration claim_interval = std::chrono::milliseconds{300};
constexpr duration waiting_retry = std::chrono::milliseconds{250};
constexpr duration unknown_plan_retry = std::chrono::seconds{1};

bool contains(const std::vector<instance_id>& ids, const instance_id& id)
{
    return std::ranges::find(ids, id) != ids.end();
}

std::vector<instance_id> sorted(std::vector<instance_id> ids)
{
    std::ranges::sort(ids);
    return ids;
}

bool same_owners(const limits_view& a, const limits_view& b)
{
    return a.live == b.live && a.departing == b.departing;
}

std::vector<instance_id>
reachable_others(const limits_view& view, const instance_id& self)
{
    std::vector<instance_id> others = view.live;
    others.insert(others.end(), view.departing.begin(), view.departing.end());
    std::erase(others, self);
    return others;
}

} // namespace

limit_owner::limit_owner(const instance_id& self, limit_timing timing)
    : self{self}
    , timing{timing}
    , lists{std::make_shared<const lists_snapshot>()}
{
}

void limit_owner::update_view(const limits_view& next, time_point now)
{
    const std::lock_guard lock{this->mutex};
    this->detect_pause(now);
    if (next == this->view)
    {
        return;
    }
    const bool first = this->view.live.empty();
    const limits_view previous = std::exchange(this->view, next);
    const bool no_one_new =
        std::ranges::includes(sorted(previous.live), sorted(next.live));
    if (first || (no_one_new && !this->fraction_rises_at))
    {
        this->fraction = live_fraction(next);
    }
    this->update_fraction(now);
    if (first || !same_owners(previous, next))
    {
        absl::erase_if(
            this->newest_message,
            [&](const auto& entry)
            {
                return !contains(next.live, entry.first);
            });
        this->reassign(previous, now);
    }
}

void limit_owner::detect_pause(time_point now)
{
    const bool paused =
        this->ticked_at && now - *this->ticked_at > this->timing.pause;
    this->ticked_at = now;
    if (paused)
    {
        this->released.clear();
        for (auto& [name, one] : this->owned)
        {
            one.authority_at = now + this->timing.start_wait;
        }
    }
}

void limit_owner::update_lists(
    std::shared_ptr<const lists_snapshot> next, time_point now)
{
    const std::lock_guard lock{this->mutex};
    if (next == this->lists)
    {
        return;
    }
    this->lists = std::move(next);
    if (!this->view.live.empty())
    {
        this->reassign(this->view, now);
    }
}

lease_message limit_owner::answer(const demand_message& message, time_point now)
{
    const std::lock_guard lock{this->mutex};
    lease_message reply{this->self, message.sequence, {}};
    std::uint64_t& newest = this->newest_message[message.from];
    if (message.sequence <= newest)
    {
        return reply;
    }
    newest = message.sequence;
    std::ranges::transform(
        message.demands,
        std::back_inserter(reply.leases),
        [&](const workspace_demand& demand)
        {
            return this->answer_one(message, demand, now);
        });
    return reply;
}

std::vector<outgoing_claim> limit_owner::tick(time_point now)
{
    const std::lock_guard lock{this->mutex};
    this->detect_pause(now);
    this->update_fraction(now);
    absl::erase_if(
        this->released,
        [&](const auto& record)
        {
            return now >= record.second.released_at + release_record_lifetime;
        });
    std::map<instance_id, std::vector<workspace_id>> wanted;
    for (auto& [name, one] : this->owned)
    {
        if (now < one.authority_at && one.claim_from)
        {
            wanted[*one.claim_from].push_back(name);
        }
    }
    std::vector<outgoing_claim> messages;
    for (auto& [to, workspaces] : wanted)
    {
        claim_link& link = this->claims[to];
        if (link.in_flight && now < *link.in_flight + claim_interval)
        {
            continue;
        }
        link.in_flight = now;
        std::ranges::sort(workspaces);
        messages.push_back(
            {to, {this->self, ++link.sequence, std::move(workspaces)}});
    }
    return messages;
}

claim_reply limit_owner::answer(const claim_message& claim, time_point now)
{
    const std::lock_guard lock{this->mutex};
    claim_reply reply{claim.sequence, {}, {}};
    if (claim.from == this->self)
    {
        // The claim was meant for an earlier incarnation at this address.
        return reply;
    }
    for (const workspace_id& name : claim.workspaces)
    {
        if (this->owned.contains(name))
        {
            reply.kept.push_back(name);
        }
        const auto found = this->released.find(name);
        if (found == this->released.end())
        {
            continue;
        }
        released_record& record = found->second;
        if (!record.claimed_by || *record.claimed_by == claim.from)
        {
            record.claimed_by = claim.from;
            reply.released.push_back({name, record.leases.holders(now)});
        }
    }
    return reply;
}

void limit_owner::receive(
    const instance_id& from, const claim_reply& reply, time_point now)
{
    const std::lock_guard lock{this->mutex};
    claim_link& link = this->claims[from];
    // A reply that took longer than a claim interval may report a handover that
    // has been reverted since.
    if (!link.in_flight || reply.sequence != link.sequence ||
        now >= *link.in_flight + claim_interval)
    {
        return;
    }
    for (const released_workspace& one : reply.released)
    {
        const auto found = this->owned.find(one.workspace);
        if (found != this->owned.end() && found->second.claim_from == from &&
            now < found->second.authority_at)
        {
            found->second.leases.import_holders(one.holders, now);
            found->second.authority_at = now;
        }
    }
    for (const workspace_id& name : reply.kept)
    {
        const auto found = this->owned.find(name);
        if (found != this->owned.end() && now < found->second.authority_at)
        {
            // The views differ, and the other instance still grants leases.
            found->second.authority_at = std::max(
                found->second.authority_at, now + this->timing.start_wait);
        }
    }
}

void limit_owner::forget(const instance_id& gone)
{
    const std::lock_guard lock{this->mutex};
    for (auto& [name, one] : this->owned)
    {
        one.leases.forget(gone);
    }
}

void limit_owner::reassign(const limits_view& previous, time_point now)
{
    for (const auto& [name, plan] : this->lists->plans)
    {
        const bool is_owner = owner_of(name, this->view.live) == this->self;
        const bool was_owner = this->owned.contains(name);
        if (is_owner && !was_owner)
        {
            this->take_over(name, previous, now);
        }
        if (!is_owner && was_owner)
        {
            this->release(name, now);
        }
    }
}

void limit_owner::take_over(
    const workspace_id& workspace, const limits_view& previous, time_point now)
{
    this->released.erase(workspace);
    owned_workspace fresh{
        owner_workspace{this->timing},
        now + this->timing.start_wait,
        std::nullopt};
    const std::vector<instance_id> others =
        reachable_others(this->view, this->self);
    if (!previous.live.empty())
    {
        // The previous owner is asked even if it is considered dead: it may
        // still answer.
        const instance_id& before = owner_of(workspace, previous.live);
        if (before != this->self)
        {
            fresh.claim_from = before;
        }
        if (before != this->self && !contains(others, before))
        {
            fresh.authority_at = now + this->timing.takeover_wait;
        }
    }
    if (!fresh.claim_from && !others.empty())
    {
        fresh.claim_from = owner_of(workspace, others);
    }
    this->owned.insert_or_assign(workspace, std::move(fresh));
}

bool limit_owner::has_authority(time_point now) const
{
    const std::lock_guard lock{this->mutex};
    return this->ticked_at && std::ranges::all_of(
                                  this->owned,
                                  [now](const auto& entry)
                                  {
                                      return entry.second.authority_at <= now;
                                  });
}

void limit_owner::release(const workspace_id& workspace, time_point now)
{
    const auto found = this->owned.find(workspace);
    if (now >= found->second.authority_at)
    {
        this->released.insert_or_assign(
            workspace,
            released_record{
                std::move(found->second.leases), now, std::nullopt});
    }
    this->owned.erase(found);
}

workspace_lease limit_owner::answer_one(
    const demand_message& message,
    const workspace_demand& demand,
    time_point now)
{
    workspace_lease lease;
    lease.workspace = demand.workspace;
    const auto found = this->owned.find(demand.workspace);
    const entitlement_entry* entitlement =
        find_entitlement(*this->lists, demand.workspace);
    if (entitlement == nullptr)
    {
        lease.retry_after = unknown_plan_retry;
        return lease;
    }
    if (found == this->owned.end())
    {
        lease.status = lease_status::not_owner;
        lease.retry_after = waiting_retry;
        return lease;
    }
    const bool stale =
        !this->ticked_at || now - *this->ticked_at > this->timing.pause;
    if (stale || now < found->second.authority_at)
    {
        found->second.leases.record(message.from, demand, message, now);
        lease.status = lease_status::waiting;
        lease.retry_after = waiting_retry;
        return lease;
    }
    return found->second.leases.answer(
        message.from, demand, message, this->pool_of(*entitlement), now);
}

void limit_owner::update_fraction(time_point now)
{
    const double next = live_fraction(this->view);
    if (next <= this->fraction)
    {
        this->fraction = next;
        this->fraction_rises_at.reset();
        return;
    }
    if (!this->fraction_rises_at)
    {
        this->fraction_rises_at = now + this->timing.start_wait;
    }
    if (now >= *this->fraction_rises_at)
    {
        this->fraction = next;
        this->fraction_rises_at.reset();
    }
}

limit_pool limit_owner::pool_of(const entitlement_entry& entitlement) const
{
    const double fleet = std::max<double>(
        this->view.fleet_size, static_cast<double>(this->view.live.size()));
    const limit_rates granted{
        entitlement.requests_per_second * granted_fraction,
        entitlement.tokens_per_second * granted_fraction};
    return {
        {granted.requests * this->fraction, granted.tokens * this->fraction},
        static_cast<std::uint32_t>(
            std::floor(entitlement.concurrency * this->fraction)),
        {granted.requests / fleet, granted.tokens / fleet}};
}

} // namespace fireflysail
