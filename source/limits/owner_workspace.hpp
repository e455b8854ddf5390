#pragma once

#include "limits/limit_messages.hpp"
#include "limits/limit_timing.hpp"
#include "limits/permit_schedule.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace fireflysail
{

/// The part of one plan that an owner may have in use over all holders.
struct limit_pool
{
    limit_rates rates;
    std::uint32_t slots = 0;
    /// Equal share of one instance, which it may use in the tail period after
    /// its lease.
    limit_rates tail;
};

/// The leases of one workspace, as recorded by its owner. A grant counts as in
/// use until its holder reports that it holds less, or until the grant has
/// expired.
class owner_workspace
{
public:
    explicit owner_workspace(const limit_timing& timing);

    /// Records a holder's demand and grants what is free. Messages that are not
    /// newer than the last one get an empty reply.
    workspace_lease answer(
        const instance_id& from,
        const workspace_demand& demand,
        const demand_message& message,
        const limit_pool& pool,
        time_point now);

    /// Records a holder's demand without granting anything.
    void record(
        const instance_id& from,
        const workspace_demand& demand,
        const demand_message& message,
        time_point now);

    std::vector<lease_holder> holders(time_point now) const;

    void
    import_holders(const std::vector<lease_holder>& holders, time_point now);

    /// Frees the slots and rates of an instance that is known to be gone.
    void forget(const instance_id& gone);

    /// Sum of the rates that may be in use over all holders.
    limit_rates rates_in_use(const limit_pool& pool, time_point now) const;

private:
    struct holder
    {
        std::uint64_t sequence = 0;
        limit_rates rates;
        limit_rates burst;
        limit_rates wanted;
        std::uint32_t slots = 0;
        std::uint32_t running = 0;
        std::uint32_t wanted_slots = 0;
        time_point last_message_at{};
        time_point lease_end{};
        time_point slots_end{};
        /// Sequence number of the reply that granted `permits`, or 0.
        std::uint64_t permit_sequence = 0;
        permit_reservation permits;
    };

    limit_rates
    in_use(const holder& one, const limit_rates& tail, time_point now) const;
    static std::uint32_t slots_in_use(const holder& one, time_point now);
    void expire(time_point now);
    void refund(
        holder& from,
        const workspace_demand& demand,
        std::uint64_t last_reply,
        time_point now);
    /// Returns false if the holder cannot get a lease and needs single permits.
    bool grant_rates(
        const instance_id& from,
        const workspace_demand& demand,
        const limit_pool& pool,
        time_point now,
        workspace_lease& lease);
    void grant_slots(
        const instance_id& from,
        const workspace_demand& demand,
        const limit_pool& pool,
        time_point now,
        workspace_lease& lease) const;
    permit_reservation grant_permits(
        const workspace_demand& demand,
        const limit_pool& pool,
        time_point now,
        workspace_lease& lease);
    void configure_schedule(const limit_pool& pool, time_point now);
    duration next_retry_delay(const limit_pool& pool, time_point now);

    const limit_timing* timing;
    /// Ordered by id, so that floating-point sums do not depend on a hash seed.
    std::map<instance_id, holder> holders_by_id;
    permit_schedule schedule;
    /// Retry time given to the last instance that was refused a permit.
    time_point last_retry_at{};
};

} // namespace fireflysail
