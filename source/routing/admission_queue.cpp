#include "routing/admission_queue.hpp"

#include "common/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace fireflysail
{

admission_queue::admission_queue(const options& chosen)
    : chosen{chosen}
    , short_lane{chosen.order}
    , long_lane{chosen.order}
{
}

void admission_queue::set_capacity(std::size_t slots)
{
    this->slots = slots;
}

submission admission_queue::submit(const queue_entry& entry, time_point now)
{
    this->threshold.observe(entry.expected);
    if (const auto refusal = this->reason_to_refuse(entry, now))
    {
        return refused{entry.ticket, *refusal};
    }
    const bool is_long = this->is_long(entry);
    const bool start_now = this->can_start_now(is_long);
    const duration wait = this->expected_wait(entry, now);
    fair_queue& lane = is_long ? this->long_lane : this->short_lane;
    waiting_entry waiting{
        now, time_point::max(), time_point::max(), time_point::max()};
    if (entry.deadline != time_point::max())
    {
        waiting.must_start = entry.deadline - this->optimistic_service(entry);
        this->must_start.emplace(waiting.must_start, entry.ticket);
        const time_point urgent_at = entry.deadline -
                                     this->expected_service(entry) -
                                     this->chosen.urgency_margin;
        // Work submitted with no time left to wait was not promised any, so it
        // is never treated as urgent.
        if (urgent_at > now)
        {
            waiting.urgent_at = urgent_at;
            this->urgent_order.emplace(urgent_at, entry.ticket);
        }
    }
    if (is_long)
    {
        waiting.latest_start = this->latest_start(entry, entry.expected, now);
        this->long_order.emplace(waiting.latest_start, entry.ticket);
    }
    this->waiting_entries.emplace(entry.ticket, waiting);
    lane.push(entry, now);
    this->arrivals[index_of(entry.priority)].observe(entry.expected, now);
    if (start_now)
    {
        this->admit_from(lane, now);
    }
    this->observe_demand(now);
    if (start_now)
    {
        return admitted{entry.ticket};
    }
    return queued{entry.ticket, wait};
}

submission admission_queue::resume(const queue_entry& entry, time_point now)
{
    ensure(
        !this->running_entries.contains(entry.ticket),
        "a resuming stream must not hold a slot");
    const bool start_now = this->free_slots() > 0 && this->resuming.empty();
    this->resuming.emplace(entry.ticket, resuming_entry{entry, now});
    this->resume_order[index_of(entry.priority)].emplace(now, entry.ticket);
    if (start_now)
    {
        this->admit_resume(now);
        return admitted{entry.ticket};
    }
    return queued{entry.ticket, duration::zero()};
}

void admission_queue::release(ticket_id ticket, slot_end how, time_point now)
{
    const auto ended = this->stop(ticket);
    if (!ended)
    {
        return;
    }
    if (how == slot_end::finished)
    {
        const duration held = now - ended->started;
        (ended->is_long ? this->long_slowdown : this->slowdown)
            .observe(ended->entry.expected, held);
        if (ended->lane != nullptr)
        {
            ended->lane->correct(ended->entry, held);
        }
    }
    this->observe_demand(now);
}

void admission_queue::on_preempted(
    ticket_id ticket, duration remaining, time_point now)
{
    const auto ended = this->stop(ticket);
    if (!ended)
    {
        return;
    }
    paused_entry paused_stream{
        ended->entry, ended->total_service, ended->submitted, {}};
    paused_stream.entry.expected = remaining;
    paused_stream.latest_start = this->latest_start(
        paused_stream.entry, ended->total_service, ended->submitted);
    this->paused_order.emplace(paused_stream.latest_start, ticket);
    this->paused.emplace(ticket, paused_stream);
    this->observe_demand(now);
}

bool admission_queue::cancel(ticket_id ticket, time_point now)
{
    if (const auto found = this->resuming.find(ticket);
        found != this->resuming.end())
    {
        const resuming_entry& waiting = found->second;
        this->resume_order[index_of(waiting.entry.priority)].erase(
            {waiting.since, ticket});
        this->resuming.erase(found);
        return true;
    }
    if (const auto found = this->paused.find(ticket);
        found != this->paused.end())
    {
        this->paused_order.erase({found->second.latest_start, ticket});
        this->paused.erase(found);
        return true;
    }
    if (!this->short_lane.erase(ticket) && !this->long_lane.erase(ticket))
    {
        return false;
    }
    this->remove_waiting(ticket);
    this->observe_demand(now);
    return true;
}

bool admission_queue::can_start_now(bool is_long) const
{
    if (this->free_slots() == 0 || !this->resuming.empty() ||
        !this->short_lane.empty())
    {
        return false;
    }
    return !is_long ||
           (!this->long_is_waiting() && this->long_count < this->long_limit());
}

std::size_t admission_queue::free_slots() const
{
    const std::size_t used = this->running_entries.size();
    return used < this->slots ? this->slots - used : 0;
}

std::size_t admission_queue::reserved_long_slots() const
{
    const double part =
        this->chosen.min_long_share * static_cast<double>(this->slots);
    const auto floor = static_cast<std::size_t>(std::ceil(part));
    return std::min(this->slots, floor);
}

std::size_t admission_queue::long_limit() const
{
    const std::size_t demand = this->short_demand.slots();
    const std::size_t left = this->slots > demand ? this->slots - demand : 0;
    return std::max(left, this->reserved_long_slots());
}

bool admission_queue::long_is_waiting() const
{
    return !this->paused.empty() || !this->long_lane.empty();
}

bool admission_queue::is_long(const queue_entry& entry) const
{
    return this->threshold.is_long(entry.expected);
}

std::size_t admission_queue::running() const
{
    return this->running_entries.size();
}

std::size_t admission_queue::running_long() const
{
    return this->long_count;
}

std::size_t admission_queue::waiting() const
{
    return this->short_lane.size() + this->long_lane.size() +
           this->resuming.size() + this->paused.size();
}

std::size_t admission_queue::capacity() const
{
    return this->slots;
}

} // namespace fireflysail
