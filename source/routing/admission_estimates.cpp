#include "routing/admission_queue.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

// Members of admission_queue that estimate waits and refuse entries.

namespace fireflysail
{

namespace
{

using float_seconds = std::chrono::duration<double>;

/// Retry times are spread over this fraction of the expected wait, so that
/// refused callers do not return all at once.
constexpr double retry_jitter = 0.5;
constexpr duration min_retry_after = std::chrono::milliseconds{100};
/// Lower bound of service rates, so that estimates do not divide by a value
/// near zero.
constexpr double min_rate = 0.01;

duration to_duration(float_seconds value)
{
    constexpr float_seconds longest = std::chrono::hours{24 * 365};
    return std::chrono::duration_cast<duration>(std::min(value, longest));
}

/// Returns a number in [0, 1) that differs widely between consecutive tickets.
double jitter_of(ticket_id ticket)
{
    constexpr double golden_ratio = 0.6180339887498949;
    constexpr ticket_id::rep period = 1 << 20;
    double whole = 0;
    return std::modf(
        static_cast<double>(ticket.value() % period) * golden_ratio, &whole);
}

duration retry_after(const queue_entry& entry, duration wait)
{
    const double factor = 1 + retry_jitter * jitter_of(entry.ticket);
    return to_duration(std::max(wait, min_retry_after) * factor);
}

} // namespace

duration
admission_queue::expected_wait(const queue_entry& entry, time_point now) const
{
    const bool is_long = this->is_long(entry);
    if (this->can_start_now(is_long))
    {
        return duration::zero();
    }
    const double rate = this->lane_rate(entry);
    const fair_queue& lane = is_long ? this->long_lane : this->short_lane;
    const duration typical =
        is_long ? entry.expected : this->threshold.typical();
    const duration until_a_slot_is_free = to_duration(typical / rate);
    return this->lane_wait(lane, rate, entry, now) + until_a_slot_is_free;
}

/// Rate at which the lane of `entry` is served: seconds of expected service per
/// second.
double admission_queue::lane_rate(const queue_entry& entry) const
{
    const std::size_t reserved_for_long =
        std::min(this->long_count, this->reserved_long_slots());
    const std::size_t lane_slots = this->is_long(entry)
                                       ? this->long_limit()
                                       : this->slots - reserved_for_long;
    return std::max(
        static_cast<double>(lane_slots) / this->slowdown_of(entry).value(),
        min_rate);
}

/// Time to serve all work that waits in the lane of `entry`, in its class and
/// higher ones.
duration admission_queue::backlog_wait(const queue_entry& entry) const
{
    const fair_queue& lane =
        this->is_long(entry) ? this->long_lane : this->short_lane;
    duration backlog{};
    for (std::size_t i = 0; i <= index_of(entry.priority); ++i)
    {
        backlog += lane.backlog_of(static_cast<request_class>(i));
    }
    return to_duration(float_seconds{backlog} / this->lane_rate(entry));
}

/// Divides the backlog ahead of `entry` by the service rate that higher classes
/// leave. Two upper bounds hold whatever arrives later: one from the guaranteed
/// share of the class, and within it one from the guaranteed share of the
/// workspace.
duration admission_queue::lane_wait(
    const fair_queue& lane,
    double rate,
    const queue_entry& entry,
    time_point now) const
{
    duration ahead = lane.backlog_of(entry.priority);
    double left = rate;
    for (std::size_t i = 0; i < index_of(entry.priority); ++i)
    {
        ahead += lane.backlog_of(static_cast<request_class>(i));
        left -= this->arrivals[i].value(now);
    }
    const double guaranteed =
        rate * lane.guaranteed_class_share(entry.priority);
    const double class_rate = std::max({left, guaranteed, min_rate});
    const float_seconds in_class = std::min(
        float_seconds{ahead} / class_rate,
        float_seconds{lane.backlog_of(entry.priority)} /
            std::max(guaranteed, min_rate));
    const double share =
        lane.workspace_share(entry.priority, entry.workspace, entry.weight);
    const float_seconds in_workspace =
        float_seconds{lane.backlog_of(entry.priority, entry.workspace)} /
        (class_rate * share);
    return to_duration(std::min(in_class, in_workspace));
}

std::optional<did_not_run> admission_queue::reason_to_refuse(
    const queue_entry& entry, time_point now) const
{
    const duration wait = this->expected_wait(entry, now);
    const did_not_run overload{
        did_not_run_reason::overloaded, retry_after(entry, wait)};
    if (entry.deadline != time_point::max())
    {
        const duration slack =
            entry.deadline - now - this->optimistic_service(entry);
        if (slack < duration::zero())
        {
            return did_not_run{did_not_run_reason::deadline, {}};
        }
        if (wait > slack * this->chosen.max_slack_fraction)
        {
            return did_not_run{
                did_not_run_reason::deadline, retry_after(entry, wait)};
        }
    }
    const bool wait_too_long =
        this->is_long(entry) && wait > this->chosen.max_wait;
    const bool backlog_too_long =
        !this->is_long(entry) &&
        this->backlog_wait(entry) > this->chosen.max_backlog_wait &&
        !this->is_below_fair_share(entry);
    if (wait_too_long || backlog_too_long || this->class_is_full(entry))
    {
        return overload;
    }
    return std::nullopt;
}

bool admission_queue::class_is_full(const queue_entry& entry) const
{
    const fair_queue& lane =
        this->is_long(entry) ? this->long_lane : this->short_lane;
    return lane.size_of(entry.priority) >= this->chosen.max_waiting_per_class &&
           !this->is_below_fair_share(entry);
}

/// Whether the workspace would have less work waiting than its fair share of
/// the class. A full queue still accepts such an entry, so that one workspace
/// cannot block the others.
bool admission_queue::is_below_fair_share(const queue_entry& entry) const
{
    const fair_queue& lane =
        this->is_long(entry) ? this->long_lane : this->short_lane;
    const double share =
        lane.workspace_share(entry.priority, entry.workspace, entry.weight);
    const float_seconds fair_backlog = lane.backlog_of(entry.priority) * share;
    const float_seconds own = lane.backlog_of(entry.priority, entry.workspace);
    return own + float_seconds{entry.expected} < fair_backlog;
}

duration admission_queue::expected_service(const queue_entry& entry) const
{
    const double factor = std::max(this->slowdown_of(entry).value(), 1.0);
    return to_duration(float_seconds{entry.expected} * factor);
}

duration admission_queue::optimistic_service(const queue_entry& entry) const
{
    return to_duration(
        float_seconds{this->expected_service(entry)} *
        this->chosen.optimistic_factor);
}

time_point admission_queue::latest_start(
    const queue_entry& entry,
    duration total_service,
    time_point submitted) const
{
    const duration whole = to_duration(
        float_seconds{total_service} * this->chosen.max_long_stretch);
    return submitted + whole - this->expected_service(entry);
}

const service_slowdown&
admission_queue::slowdown_of(const queue_entry& entry) const
{
    return this->is_long(entry) ? this->long_slowdown : this->slowdown;
}

} // namespace fireflysail
