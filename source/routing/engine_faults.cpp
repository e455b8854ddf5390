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
        // Many streams report the same event.
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
    known.is_hearsay = false;
    ++this->changes;
}

engine_faults::record&
engine_faults::hear(const server_id& server, time_point now)
{
    const auto [found, is_new] = this->records.try_emplace(server);
    record& known = found->second;
    known.is_hearsay = is_new || known.is_hearsay ||
                       (known.failed_inquiries == 0 &&
                        now >= known.until + this->chosen.forgotten_after);
    if (now - known.last_testimony >= this->chosen.testimony)
    {
        known.witnesses.clear();
    }
    ++this->changes;
    return known;
}

void engine_faults::heard_fault(const server_id& server, time_point now)
{
    record& known = this->hear(server, now);
    known.until = std::max(known.until, now + this->chosen.first_suspicion);
}

void engine_faults::heard_unanswered(
    const server_id& server, const instance_id& from, time_point now)
{
    record& known = this->hear(server, now);
    if (std::ranges::find(known.witnesses, from) == known.witnesses.end())
    {
        known.witnesses.push_back(from);
    }
    known.last_testimony = now;
}

void engine_faults::heard_answered(const server_id& server, time_point now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
    {
        return;
    }
    record& known = found->second;
    known.witnesses.clear();
    if (known.is_hearsay)
    {
        known.until = std::min(known.until, now);
    }
    ++this->changes;
}

bool engine_faults::is_unanswered(const server_id& server) const
{
    const auto known = this->records.find(server);
    return known != this->records.end() && known->second.failed_inquiries > 0;
}

bool engine_faults::is_witnessed(const record& known, time_point now) const
{
    const std::size_t own = known.failed_inquiries > 0 ? 1 : 0;
    return !known.witnesses.empty() &&
           known.witnesses.size() + own >= this->chosen.witnesses_to_confirm &&
           now - known.last_testimony < this->chosen.testimony;
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
    known.witnesses.clear();
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
    known.is_hearsay = false;
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

bool engine_faults::is_avoided(const server_id& server, time_point now) const
{
    const auto known = this->records.find(server);
    return known != this->records.end() && this->is_avoided(known->second, now);
}

bool engine_faults::is_avoided(const record& known, time_point now) const
{
    return now < known.until || this->is_lost(known, now);
}

std::vector<server_id> engine_faults::avoided(time_point now) const
{
    std::vector<server_id> servers;
    for (const auto& [server, known] : this->records)
    {
        if (this->is_avoided(known, now))
        {
            servers.push_back(server);
        }
    }
    return servers;
}

std::vector<server_id>
engine_faults::take_due_inquiries(time_point now, hearsay include)
{
    std::vector<server_id> due;
    for (auto& [server, known] : this->records)
    {
        const bool open = now < known.until || known.failed_inquiries > 0 ||
                          this->is_witnessed(known, now);
        if (known.is_hearsay && include == hearsay::left_out)
        {
            continue;
        }
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
    return refuses || this->is_gone(known) || this->is_witnessed(known, now);
}

std::uint64_t engine_faults::version() const
{
    return this->changes;
}

} // namespace fireflysail
