#pragma once

#include "common/token_bucket.hpp"
#include "common/units.hpp"
#include "limits/demand_meter.hpp"
#include "limits/limit_messages.hpp"
#include "limits/limit_timing.hpp"

#include <cstdint>
#include <variant>

namespace fireflysail
{

/// The request may run. Its slot must be returned when it ends.
struct limit_granted
{
};

enum class limit_kind
{
    requests,
    tokens,
    concurrency,
};

/// The request must not run.
struct limit_refused
{
    limit_kind limit = limit_kind::requests;
    duration retry_after{};
    /// False if this instance holds no part of the plan, for example while a
    /// new owner waits for the leases of the previous one to expire.
    bool holds_share = false;
};

using limit_outcome = std::variant<limit_granted, limit_refused>;

enum class attempt_kind
{
    first,
    /// Another try for a waiting request that was refused before.
    repeated,
};

/// The share of one workspace's plan that an instance holds, and its demand for
/// that workspace.
class client_workspace
{
public:
    explicit client_workspace(const limit_timing& timing);

    limit_outcome
    try_acquire(token_count cost, attempt_kind attempt, time_point now);

    /// Returns the slot of a request that has ended.
    void finish(time_point now);

    /// Returns tokens that were charged but not used.
    void give_back(token_count unused, time_point now);

    /// True if a message to the owner is due now.
    bool is_due(time_point now) const;

    /// True if this workspace should be included in a message that is sent to
    /// the owner anyway.
    bool should_include(time_point now) const;

    /// True if nothing is held, running or needed.
    bool is_idle(time_point now) const;

    /// Returns the demand to send to the owner, and gives up the share that is
    /// no longer needed.
    workspace_demand report(const workspace_id& name, time_point now);

    /// Applies the reply to a report that was sent at `sent_at`.
    void
    apply(const workspace_lease& lease, time_point sent_at, time_point now);

    /// Called when the owner changes. Makes a report due at once.
    void owner_changed();

    std::uint32_t running_requests() const;

private:
    bool holds_anything() const;
    bool is_unused(time_point now) const;
    bool has_excess(time_point now) const;
    limit_rates wanted(time_point now) const;
    std::uint32_t usable_slots(time_point now) const;
    void refresh(time_point now);
    void configure_buckets(time_point now);
    bool take_permit(std::uint64_t cost, time_point now);
    bool take_from_lease(double cost, time_point now);
    void skip_expired_permits(time_point now);
    std::uint32_t permits_left() const;
    time_point next_permit() const;
    limit_refused refuse(limit_kind limit, duration wait, time_point now) const;
    duration wait_for_permit(double cost, time_point now) const;
    void update_largest_cost(std::uint64_t cost, time_point now);

    const limit_timing* timing;
    limit_rates rates;
    limit_rates burst;
    limit_rates tail;
    std::uint32_t slots = 0;
    time_point lease_end{};
    bool in_tail = false;
    token_bucket request_bucket;
    token_bucket tokens_bucket;
    permit_block permits;
    time_point permits_start{};
    std::uint32_t permits_used = 0;
    std::uint32_t permits_expired = 0;

    demand_meter request_meter;
    demand_meter token_meter;
    std::uint32_t running = 0;
    std::uint32_t peak_running = 0;
    std::uint32_t waiting_requests = 0;
    std::uint64_t waiting_tokens = 0;
    std::uint64_t largest_cost = 0;
    time_point largest_cost_at{};
    time_point last_attempt{};
    time_point last_renewal{};
    time_point last_report{};
    time_point ask_again_at{};
    bool must_report = false;
};

} // namespace fireflysail
