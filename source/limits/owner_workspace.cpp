#include "limits/owner_workspace.hpp"

#include "limits/fair_share.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace fireflysail
{

namespace
{

// Excess over the granted rates that may be used within any 10 s, as fractions
// of one second of the plan. Together with the pool's reserve they stay below
// the allowed 1%. docs/design/limits.md has the calculation.
constexpr double burst_fraction = 0.2;
constexpr double permit_burst_fraction = 0.05;
// No lease is granted if the shared burst is below this many requests: each
// holder needs at least one whole request, and single permits serve as well.
constexpr double min_lease_burst = 2.0;
// Factor on the reported demand, so that demand may grow without another
// message.
constexpr double headroom = 1.25;
// A first lease below this fraction of the target rate is not granted: it would
// only prevent its holder from getting single permits.
constexpr double min_useful_fraction = 0.1;
// How far in advance single permits are granted for plans that are large enough
// for leases.
constexpr duration permit_horizon = std::chrono::milliseconds{500};
// How far in advance single permits are granted for plans that are too small
// for leases.
constexpr duration long_permit_horizon = std::chrono::milliseconds{1000};
constexpr std::uint32_t long_block = 4;
constexpr duration lease_retry = std::chrono::milliseconds{300};
// The demand of a holder is ignored if its last message is older than this.
constexpr duration demand_lifetime = std::chrono::milliseconds{1200};
constexpr duration min_retry = std::chrono::milliseconds{50};
constexpr duration max_retry = std::chrono::milliseconds{1500};

limit_rates lower(const limit_rates& a, const limit_rates& b)
{
    return {std::min(a.requests, b.requests), std::min(a.tokens, b.tokens)};
}

limit_rates higher(const limit_rates& a, const limit_rates& b)
{
    return {std::max(a.requests, b.requests), std::max(a.tokens, b.tokens)};
}

bool is_leasable(const limit_pool& pool)
{
    return pool.rates.requests * burst_fraction >= min_lease_burst;
}

limit_rates burst_of(const limit_rates& rates, const limit_pool& pool)
{
    // One request per holder, plus half of the shared burst in proportion to
    // the rate.
    const limit_rates burst{
        1 + rates.requests * burst_fraction / 2, rates.tokens * burst_fraction};
    return lower(burst, higher({1, 0}, pool.rates));
}

std::uint32_t whole(double amount)
{
    return static_cast<std::uint32_t>(std::clamp(amount, 0.0, 4294967295.0));
}

} // namespace

owner_workspace::owner_workspace(const limit_timing& timing)
    : timing{&timing}
{
}

workspace_lease owner_workspace::answer(
    const instance_id& from,
    const workspace_demand& demand,
    const demand_message& message,
    const limit_pool& pool,
    time_point now)
{
    workspace_lease lease;
    lease.workspace = demand.workspace;
    const auto previous = this->holders_by_id.find(from);
    if (previous != this->holders_by_id.end() &&
        message.sequence <= previous->second.sequence)
    {
        // A newer message has arrived before, so the sender will drop this
        // reply.
        lease.status = lease_status::waiting;
        return lease;
    }
    this->expire(now);
    this->record(from, demand, message, now);
    lease.tail = pool.tail;
    const bool can_be_leased =
        this->grant_rates(from, demand, pool, now, lease);
    this->grant_slots(from, demand, pool, now, lease);

    holder& one = this->holders_by_id[from];
    one.rates = higher(one.rates, lease.rates);
    one.burst = higher(one.burst, lease.burst);
    one.slots = std::max(one.slots, lease.slots);
    this->configure_schedule(pool, now);
    lease.retry_after = lease_retry;
    one.permits = {};
    if (!can_be_leased && demand.waiting_requests > 0)
    {
        one.permits = this->grant_permits(demand, pool, now, lease);
    }
    one.permit_sequence = one.permits.block.count > 0 ? message.sequence : 0;
    return lease;
}

void owner_workspace::record(
    const instance_id& from,
    const workspace_demand& demand,
    const demand_message& message,
    time_point now)
{
    holder& one = this->holders_by_id[from];
    if (message.sequence <= one.sequence)
    {
        return;
    }
    this->refund(one, demand, message.last_reply, now);
    one.sequence = message.sequence;
    one.rates = demand.held;
    one.burst = demand.held_burst;
    one.wanted = demand.wanted;
    one.slots = std::max(demand.held_slots, demand.running);
    one.running = demand.running;
    one.wanted_slots = demand.wanted_slots;
    one.last_message_at = now;
    one.lease_end = now + this->timing->lease;
    one.slots_end = now + this->timing->slot_hold;
}

std::vector<lease_holder> owner_workspace::holders(time_point now) const
{
    std::vector<lease_holder> listed;
    for (const auto& [id, one] : this->holders_by_id)
    {
        if (now < one.slots_end)
        {
            listed.push_back(
                {id, one.rates, one.burst, one.slots, one.lease_end - now});
        }
    }
    return listed;
}

void owner_workspace::import_holders(
    const std::vector<lease_holder>& holders, time_point now)
{
    for (const lease_holder& one : holders)
    {
        const auto [place, added] = this->holders_by_id.try_emplace(one.holder);
        if (!added)
        {
            // The holder has already reported to this owner, and that report is
            // newer.
            continue;
        }
        holder& imported = place->second;
        imported.rates = one.rates;
        imported.burst = one.burst;
        imported.slots = one.slots;
        imported.running = one.slots;
        imported.lease_end = now + one.remaining;
        imported.slots_end = now + this->timing->slot_hold;
    }
}

void owner_workspace::forget(const instance_id& gone)
{
    this->holders_by_id.erase(gone);
}

limit_rates
owner_workspace::rates_in_use(const limit_pool& pool, time_point now) const
{
    limit_rates sum;
    for (const auto& [id, one] : this->holders_by_id)
    {
        const limit_rates used = this->in_use(one, pool.tail, now);
        sum.requests += used.requests;
        sum.tokens += used.tokens;
    }
    return sum;
}

limit_rates owner_workspace::in_use(
    const holder& one, const limit_rates& tail, time_point now) const
{
    if (now < one.lease_end)
    {
        return one.rates;
    }
    if (now < one.lease_end + this->timing->tail)
    {
        return lower(one.rates, tail);
    }
    return {};
}

std::uint32_t owner_workspace::slots_in_use(const holder& one, time_point now)
{
    if (now < one.lease_end)
    {
        return one.slots;
    }
    // A holder without contact starts no new requests, but its running requests
    // continue.
    return now < one.slots_end ? one.slots : 0;
}

void owner_workspace::expire(time_point now)
{
    std::erase_if(
        this->holders_by_id,
        [&](const auto& entry)
        {
            return now >= entry.second.slots_end &&
                   now >= entry.second.lease_end + this->timing->tail;
        });
}

void owner_workspace::refund(
    holder& from,
    const workspace_demand& demand,
    std::uint64_t last_reply,
    time_point now)
{
    if (from.permit_sequence == 0)
    {
        return;
    }
    std::uint32_t unused = 0;
    if (last_reply < from.permit_sequence)
    {
        // The reply was lost or arrived too late, so the permits were not used.
        unused = from.permits.block.count;
    }
    else if (last_reply == from.permit_sequence)
    {
        unused = std::min(demand.returned_permits, from.permits.block.count);
    }
    this->schedule.give_back(from.permits, unused, now);
    from.permit_sequence = 0;
}

bool owner_workspace::grant_rates(
    const instance_id& from,
    const workspace_demand& demand,
    const limit_pool& pool,
    time_point now,
    workspace_lease& lease)
{
    std::vector<double> wanted_requests;
    std::vector<double> wanted_tokens;
    limit_rates free = pool.rates;
    double burst_left = pool.rates.requests * burst_fraction;
    for (const auto& [id, one] : this->holders_by_id)
    {
        if (now < one.last_message_at + demand_lifetime)
        {
            wanted_requests.push_back(one.wanted.requests);
            wanted_tokens.push_back(one.wanted.tokens);
        }
        if (id != from)
        {
            const limit_rates used = this->in_use(one, pool.tail, now);
            free.requests -= used.requests;
            free.tokens -= used.tokens;
            burst_left -= now < one.lease_end + this->timing->tail
                              ? one.burst.requests
                              : 0;
        }
    }
    if (!is_leasable(pool))
    {
        return false;
    }
    if (this->schedule.is_reserved_after(now))
    {
        // Capacity that is reserved for permits must not be leased as well.
        free = lower(free, demand.held);
    }
    free = higher(free, {});
    const limit_rates fair{
        fair_level(std::move(wanted_requests), pool.rates.requests),
        fair_level(std::move(wanted_tokens), pool.rates.tokens)};
    const limit_rates target = lower(
        {demand.wanted.requests * headroom, demand.wanted.tokens * headroom},
        lower(fair, pool.rates));
    const limit_rates granted = lower(target, free);
    limit_rates burst = burst_of(granted, pool);
    burst.requests = std::min(burst.requests, burst_left);
    const auto cost = static_cast<double>(demand.largest_cost);
    const bool fits = burst.requests >= 1 && burst.tokens >= cost;
    const bool is_useful =
        demand.held.requests > 0 ||
        granted.requests >= target.requests * min_useful_fraction;
    if (fits && is_useful && granted.requests > 0)
    {
        lease.rates = granted;
        lease.burst = burst;
    }
    // A holder that can get a lease waits for it, as reserved permits would
    // block the rates from being leased.
    return burst_left >= 1 && burst_of(target, pool).tokens >= cost;
}

void owner_workspace::grant_slots(
    const instance_id& from,
    const workspace_demand& demand,
    const limit_pool& pool,
    time_point now,
    workspace_lease& lease) const
{
    std::vector<double> wanted;
    double free = pool.slots;
    for (const auto& [id, one] : this->holders_by_id)
    {
        wanted.push_back(
            now < one.lease_end ? one.wanted_slots : slots_in_use(one, now));
        if (id != from)
        {
            free -= slots_in_use(one, now);
        }
    }
    const double level = std::floor(fair_level(std::move(wanted), pool.slots));
    const double target = std::min(
        {std::ceil(demand.wanted_slots * headroom),
         std::max(level, 1.0),
         std::max(free, 0.0)});
    lease.slots = std::max(whole(target), demand.running);
}

void owner_workspace::configure_schedule(const limit_pool& pool, time_point now)
{
    const limit_rates used = this->rates_in_use(pool, now);
    this->schedule.configure(
        {pool.rates.requests - used.requests, pool.rates.tokens - used.tokens},
        {std::max(1.0, pool.rates.requests * permit_burst_fraction),
         pool.rates.tokens * permit_burst_fraction});
}

permit_reservation owner_workspace::grant_permits(
    const workspace_demand& demand,
    const limit_pool& pool,
    time_point now,
    workspace_lease& lease)
{
    const auto requesters = static_cast<double>(std::ranges::count_if(
        this->holders_by_id,
        [&](const auto& entry)
        {
            return now < entry.second.lease_end &&
                   entry.second.wanted.requests > 0;
        }));
    const duration horizon =
        is_leasable(pool) ? permit_horizon : long_permit_horizon;
    const double share = this->schedule.requests_per_second() *
                         to_seconds(horizon) / std::max(requesters, 1.0);
    const std::uint32_t wanted =
        std::min(demand.waiting_requests, 1 + whole(share));
    const permit_reservation made =
        this->schedule.reserve(wanted, demand.largest_cost, horizon, now);
    lease.permits = made.block;
    if (lease.rates.requests > 0)
    {
        return made;
    }
    if (made.block.count == 0)
    {
        lease.retry_after = this->next_retry_delay(pool, now);
        return made;
    }
    // A long block is renewed before it ends, so that a lost message causes no
    // gap. It is renewed only after most of it has been used, as permits that
    // are returned from the middle of the schedule can be reused only in their
    // own time slots.
    const std::uint32_t renewed_at = made.block.count >= long_block
                                         ? made.block.count * 3 / 4
                                         : made.block.count - 1;
    lease.retry_after =
        std::max(made.block.delay + renewed_at * made.block.spacing, min_retry);
    return made;
}

duration
owner_workspace::next_retry_delay(const limit_pool& pool, time_point now)
{
    // Each refused instance gets a different retry time, so that instances that
    // started at the same time do not retry at the same time.
    const double per_second = std::max(
        this->schedule.requests_per_second(),
        pool.rates.requests * permit_burst_fraction);
    const duration step =
        per_second > 0 ? from_seconds(1 / per_second) : max_retry;
    const time_point earliest = now + lease_retry;
    this->last_retry_at = std::max(this->last_retry_at, earliest) + step;
    const duration turn =
        std::clamp(this->last_retry_at - now, min_retry, max_retry);
    this->last_retry_at = now + turn;
    return turn;
}

} // namespace fireflysail
