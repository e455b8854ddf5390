#include "routing/admission_queue.hpp"

#include "common/invariant.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>

// Members of admission_queue that assign slots to waiting entries.

namespace fireflysail
{

namespace
{

/// Estimated pause of a preempted stream, in typical short services.
constexpr int pause_short_services = 3;
/// Streams examined per preemption needed. The extra ones allow for streams
/// that cannot be preempted because they started too recently.
constexpr std::size_t victims_examined = 4;

} // namespace

std::vector<queue_decision> admission_queue::poll(time_point now)
{
    std::vector<queue_decision> decisions;
    this->reclassify_overrunning(now);
    this->refuse_expired(now, decisions);
    this->observe_demand(now);
    while (const auto ticket = this->admit_next(now))
    {
        decisions.emplace_back(admitted{*ticket});
    }
    this->observe_demand(now);
    this->preempt_long(now, decisions);
    return decisions;
}

void admission_queue::refuse_expired(
    time_point now, std::vector<queue_decision>& decisions)
{
    while (!this->must_start.empty() && this->must_start.begin()->first < now)
    {
        const ticket_id ticket = this->must_start.begin()->second;
        this->cancel(ticket, now);
        decisions.emplace_back(
            refused{ticket, did_not_run{did_not_run_reason::deadline, {}}});
    }
}

std::optional<ticket_id> admission_queue::admit_next(time_point now)
{
    if (this->free_slots() == 0)
    {
        return std::nullopt;
    }
    if (const auto ticket = this->admit_resume(now))
    {
        return ticket;
    }
    if (const auto ticket = this->admit_urgent(now))
    {
        return ticket;
    }
    if (const auto ticket = this->admit_late_long(now))
    {
        return ticket;
    }
    const bool long_below_reservation =
        this->long_count < this->reserved_long_slots();
    if (long_below_reservation || this->long_outranks_short())
    {
        if (const auto ticket = this->admit_long(now))
        {
            return ticket;
        }
    }
    if (const auto ticket = this->admit_from(this->short_lane, now))
    {
        return ticket;
    }
    return this->long_count < this->long_limit() ? this->admit_long(now)
                                                 : std::nullopt;
}

std::optional<ticket_id> admission_queue::admit_resume(time_point now)
{
    const auto order = std::ranges::find_if_not(
        this->resume_order, &std::set<timed_ticket>::empty);
    if (order == this->resume_order.end())
    {
        return std::nullopt;
    }
    const ticket_id ticket = order->begin()->second;
    const auto found = this->resuming.find(ticket);
    const queue_entry entry = found->second.entry;
    order->erase(order->begin());
    this->resuming.erase(found);
    this->start(entry, entry.expected, now, now);
    return ticket;
}

/// Admits accepted work that has no time left to wait.
std::optional<ticket_id> admission_queue::admit_urgent(time_point now)
{
    if (this->urgent_order.empty() || this->urgent_order.begin()->first > now)
    {
        return std::nullopt;
    }
    const ticket_id ticket = this->urgent_order.begin()->second;
    if (const auto entry = this->short_lane.take(ticket))
    {
        this->start_new(*entry, this->short_lane, now);
        return ticket;
    }
    const auto entry = this->long_lane.take(ticket);
    ensure(entry.has_value(), "an urgent entry must be in one of the lanes");
    this->start_new(*entry, this->long_lane, now);
    return ticket;
}

/// Preempted streams are resumed before new long work starts: they hold memory
/// at their engines, and their callers have already received part of the
/// answer.
std::optional<ticket_id> admission_queue::admit_long(time_point now)
{
    if (this->paused_order.empty())
    {
        return this->admit_from(this->long_lane, now);
    }
    return this->admit_paused(this->paused_order.begin()->second, now);
}

/// Admits long work that has reached its latest start.
std::optional<ticket_id> admission_queue::admit_late_long(time_point now)
{
    // Stays below the protected share: at the limit, a stream that has just
    // been preempted would be readmitted at once.
    if (this->long_count + 1 > this->protected_long_slots())
    {
        return std::nullopt;
    }
    if (!this->paused_order.empty() && this->paused_order.begin()->first <= now)
    {
        return this->admit_paused(this->paused_order.begin()->second, now);
    }
    if (this->long_order.empty() || this->long_order.begin()->first > now)
    {
        return std::nullopt;
    }
    const ticket_id ticket = this->long_order.begin()->second;
    const auto entry = this->long_lane.take(ticket);
    ensure(entry.has_value(), "waiting long work must be in the long lane");
    this->start_new(*entry, this->long_lane, now);
    return ticket;
}

std::size_t admission_queue::protected_long_slots() const
{
    const double part =
        this->chosen.protected_long_share * static_cast<double>(this->slots);
    return static_cast<std::size_t>(part);
}

bool admission_queue::late_long_is_protected() const
{
    return this->long_count <= this->protected_long_slots();
}

ticket_id admission_queue::admit_paused(ticket_id ticket, time_point now)
{
    const paused_entry next = this->paused.at(ticket);
    this->paused_order.erase({next.latest_start, ticket});
    this->paused.erase(ticket);
    this->start(next.entry, next.total_service, next.submitted, now);
    this->mark_long(this->running_entries.at(ticket));
    return ticket;
}

std::optional<ticket_id>
admission_queue::admit_from(fair_queue& lane, time_point now)
{
    const auto entry = lane.pop();
    if (!entry)
    {
        return std::nullopt;
    }
    this->start_new(*entry, lane, now);
    return entry->ticket;
}

void admission_queue::start_new(
    const queue_entry& entry, fair_queue& lane, time_point now)
{
    const time_point submitted =
        this->waiting_entries.at(entry.ticket).submitted;
    this->remove_waiting(entry.ticket);
    this->start(entry, entry.expected, submitted, now);
    running_entry& running = this->running_entries.at(entry.ticket);
    running.lane = &lane;
    if (&lane == &this->long_lane)
    {
        this->mark_long(running);
    }
}

/// Long work of a higher class precedes short work of a lower class as long as
/// it leaves the slots that short work needs.
bool admission_queue::long_outranks_short() const
{
    if (this->long_count >= this->long_limit())
    {
        return false;
    }
    const auto waiting_long = this->long_lane.highest_class();
    const auto waiting_short = this->short_lane.highest_class();
    return waiting_long && waiting_short && *waiting_long < *waiting_short;
}

void admission_queue::start(
    const queue_entry& entry,
    duration total_service,
    time_point submitted,
    time_point now)
{
    const time_point expected_end = now + this->expected_service(entry);
    const bool inserted =
        this->running_entries
            .emplace(
                entry.ticket,
                running_entry{
                    entry, now, expected_end, total_service, submitted})
            .second;
    ensure(inserted, "a ticket must not hold two slots");
    const duration threshold = this->threshold.value();
    if (threshold != duration::max())
    {
        this->overrun_at.emplace(now + threshold, entry.ticket);
        this->running_entries.at(entry.ticket).overruns_at = now + threshold;
    }
}

std::optional<admission_queue::running_entry>
admission_queue::stop(ticket_id ticket)
{
    const auto found = this->running_entries.find(ticket);
    if (found == this->running_entries.end())
    {
        return std::nullopt;
    }
    running_entry ended = found->second;
    this->running_entries.erase(found);
    this->overrun_at.erase({ended.overruns_at, ticket});
    this->long_count -= ended.is_long ? 1 : 0;
    this->preempting_count -= ended.preempting ? 1 : 0;
    this->victims.erase(ended.preemption_key);
    return ended;
}

void admission_queue::remove_waiting(ticket_id ticket)
{
    const auto found = this->waiting_entries.find(ticket);
    this->must_start.erase({found->second.must_start, ticket});
    this->urgent_order.erase({found->second.urgent_at, ticket});
    this->long_order.erase({found->second.latest_start, ticket});
    this->waiting_entries.erase(found);
}

void admission_queue::mark_long(running_entry& running)
{
    if (running.is_long)
    {
        return;
    }
    running.is_long = true;
    ++this->long_count;
    this->overrun_at.erase({running.overruns_at, running.entry.ticket});
    if (running.entry.preemptible)
    {
        running.preemption_key = this->victim_of(running);
        this->victims.insert(running.preemption_key);
    }
}

/// Reclassifies running work as long once it has overrun the threshold, as its
/// expected service was an underestimate.
void admission_queue::reclassify_overrunning(time_point now)
{
    while (!this->overrun_at.empty() && this->overrun_at.begin()->first <= now)
    {
        const ticket_id ticket = this->overrun_at.begin()->second;
        running_entry& running = this->running_entries.at(ticket);
        const duration so_far = now - running.started;
        running.total_service = std::max(running.total_service, 2 * so_far);
        running.expected_end = std::max(running.expected_end, now + so_far);
        this->mark_long(running);
    }
}

void admission_queue::observe_demand(time_point now)
{
    const std::size_t short_running =
        this->running_entries.size() - this->long_count;
    this->short_demand.observe(short_running + this->short_lane.size(), now);
}

admission_queue::victim_key
admission_queue::victim_of(const running_entry& running) const
{
    const duration pause = pause_short_services * this->threshold.typical();
    const duration whole = running.expected_end + pause - running.submitted;
    const double stretch =
        std::chrono::duration<double>(whole) /
        std::max<std::chrono::duration<double>>(
            running.total_service, std::chrono::milliseconds{1});
    return {running.entry.priority, -stretch, running.entry.ticket};
}

void admission_queue::preempt_long(
    time_point now, std::vector<queue_decision>& decisions)
{
    std::size_t needed = this->preemptions_needed();
    if (needed == 0)
    {
        return;
    }
    const auto waiting_class = this->short_lane.highest_class();
    std::vector<victim_key> chosen_victims;
    for (const victim_key& victim :
         this->victims | std::views::reverse |
             std::views::take(victims_examined * needed))
    {
        const running_entry& running = this->running_entries.at(victim.ticket);
        const bool ran_enough =
            now - running.started >= this->chosen.min_run_time;
        const duration left = running.expected_end - now;
        const bool yields =
            !waiting_class || running.entry.priority >= *waiting_class;
        const bool worth_it = left > this->chosen.min_run_time;
        const bool is_late =
            -victim.negated_stretch > this->chosen.max_long_stretch;
        if (is_late && this->late_long_is_protected())
        {
            continue;
        }
        if (ran_enough && yields && worth_it && needed > 0)
        {
            chosen_victims.push_back(victim);
            --needed;
        }
    }
    for (const victim_key& victim : chosen_victims)
    {
        this->victims.erase(victim);
        this->running_entries.at(victim.ticket).preempting = true;
        ++this->preempting_count;
        decisions.emplace_back(preempt{victim.ticket});
    }
}

std::size_t admission_queue::preemptions_needed() const
{
    const std::size_t used = this->running_entries.size();
    const std::size_t excess = used > this->slots ? used - this->slots : 0;
    const std::size_t coming =
        this->free_slots() + this->preempting_count + this->short_ending_soon();
    const std::size_t wanted = this->short_lane.size() + excess;
    const std::size_t staying = this->long_count - this->preempting_count;
    const std::size_t spare = staying > this->reserved_long_slots()
                                  ? staying - this->reserved_long_slots()
                                  : 0;
    return wanted > coming ? std::min(wanted - coming, spare) : 0;
}

/// Number of short entries expected to end within tolerated_wait, a wait too
/// short to justify a preemption.
std::size_t admission_queue::short_ending_soon() const
{
    using float_seconds = std::chrono::duration<double>;
    const float_seconds service =
        this->threshold.typical() * this->slowdown.value();
    if (service <= float_seconds::zero())
    {
        return 0;
    }
    const std::size_t short_running =
        this->running_entries.size() - this->long_count;
    const double ends = static_cast<double>(short_running) *
                        (this->chosen.tolerated_wait / service);
    return static_cast<std::size_t>(ends);
}

} // namespace fireflysail
