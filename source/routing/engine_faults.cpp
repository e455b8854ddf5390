#include "routing/engine_faults.hpp"

#include <algorithm>

namespace fireflysail
{

engine_faults::engine_faults(const options& chosen)
    : chosen{chosen}
{
}

void engine_faults::report(
    const server_id& server, engine_fault fault, time_point now)
{
    record& known = this->records[server];
    if (now < known.until)
    {
        // Many streams tell of one event.
        return;
    }
    const bool is_new = known.length == duration::zero() ||
                        now >= known.until + this->chosen.forgotten_after;
    known.length =
        is_new ? this->chosen.first_suspicion
               : std::min(known.length * 2, this->chosen.longest_suspicion);
    if (is_new || fault != engine_fault::named_by_peer)
    {
        known.refusals = 0;
        known.has_room = false;
    }
    known.refusals += fault == engine_fault::named_by_peer ? 1 : 0;
    known.fault = fault;
    known.until = now + known.length;
    ++this->changes;
}

void engine_faults::inquiry_answered(
    const server_id& server, engine_standing standing, time_point now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
    {
        return;
    }
    record& known = found->second;
    if (known.failed_inquiries > 0 ||
        known.fault == engine_fault::in_silent_pipeline)
    {
        known.until = std::min(known.until, now);
    }
    known.failed_inquiries = 0;
    known.has_room = standing != engine_standing::busy;
    if (standing == engine_standing::busy)
    {
        known.refusals = 0;
    }
    if (standing == engine_standing::leaving && known.refusals > 0)
    {
        known.refusals =
            std::max(known.refusals, this->chosen.refusals_to_confirm);
    }
    ++this->changes;
}

void engine_faults::inquiry_failed(const server_id& server, time_point now)
{
    record& known = this->records[server];
    ++known.failed_inquiries;
    known.until = std::max(known.until, now + this->chosen.longest_suspicion);
    known.next_inquiry = now + this->chosen.inquiry_pause;
    ++this->changes;
}

bool engine_faults::refuses(const server_id& server, time_point now) const
{
    const auto known = this->records.find(server);
    return known != this->records.end() && known->second.refusals > 0 &&
           now < known->second.until;
}

std::vector<server_id> engine_faults::avoided(time_point now) const
{
    std::vector<server_id> servers;
    for (const auto& [server, known] : this->records)
    {
        if (now < known.until || this->is_lost(known, now))
        {
            servers.push_back(server);
        }
    }
    return servers;
}

std::vector<server_id> engine_faults::take_due_inquiries(time_point now)
{
    std::vector<server_id> due;
    for (auto& [server, known] : this->records)
    {
        const bool open = now < known.until || known.failed_inquiries > 0;
        if (open && now >= known.next_inquiry)
        {
            known.next_inquiry = now + this->chosen.inquiry_pause;
            due.push_back(server);
        }
    }
    return due;
}

bool engine_faults::is_lost(const server_id& server, time_point now) const
{
    const auto known = this->records.find(server);
    return known != this->records.end() && this->is_lost(known->second, now);
}

bool engine_faults::is_gone(const server_id& server) const
{
    const auto known = this->records.find(server);
    return known != this->records.end() && this->is_gone(known->second);
}

bool engine_faults::is_gone(const record& known) const
{
    return known.failed_inquiries >= this->chosen.inquiries_to_confirm;
}

bool engine_faults::is_lost(const record& known, time_point now) const
{
    const bool refuses = known.refusals >= this->chosen.refusals_to_confirm &&
                         known.has_room &&
                         now < known.until + this->chosen.refusal_rest;
    return refuses || this->is_gone(known);
}

std::uint64_t engine_faults::version() const
{
    return this->changes;
}

} // namespace fireflysail
