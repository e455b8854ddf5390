#include "routing/engine_faults.hpp"

#include <algorithm>

namespace fireflysail
{

engine_faults::engine_faults(const options& chosen)
    : chosen{chosen}
{
}

void engine_faults::require(loss_evidence evidence)
{
    this->changes += this->required == evidence ? 0 : 1;
    this->required = evidence;
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
                        now >= known.until + this->chosen.reset_after;
    known.length = is_new
                       ? this->chosen.initial_suspicion
                       : std::min(known.length * 2, this->chosen.max_suspicion);
    if (is_new || fault != engine_fault::named_by_peer)
    {
        known.refusals = 0;
        known.has_capacity = false;
    }
    known.refusals += fault == engine_fault::named_by_peer ? 1 : 0;
    known.fault = fault;
    known.until = now + known.length;
    known.is_remote_only = false;
    ++this->changes;
}

engine_faults::record&
engine_faults::remote_record(const server_id& server, time_point now)
{
    const auto [found, is_new] = this->records.try_emplace(server);
    record& known = found->second;
    known.is_remote_only = is_new || known.is_remote_only ||
                           (known.failed_probes == 0 &&
                            now >= known.until + this->chosen.reset_after);
    if (now - known.last_remote_report >= this->chosen.remote_report_validity)
    {
        known.reports.clear();
    }
    ++this->changes;
    return known;
}

void engine_faults::remote_fault(const server_id& server, time_point now)
{
    record& known = this->remote_record(server, now);
    known.until = std::max(known.until, now + this->chosen.initial_suspicion);
}

void engine_faults::remote_probe_failed(
    const server_id& server,
    const instance_id& from,
    time_point now,
    reporter kind)
{
    record& known = this->remote_record(server, now);
    if (std::ranges::find(known.reports, from, &failed_report::from) ==
        known.reports.end())
    {
        known.reports.push_back({from, kind});
    }
    known.last_remote_report = now;
}

void engine_faults::remote_probe_succeeded(
    const server_id& server, time_point now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
    {
        return;
    }
    record& known = found->second;
    known.reports.clear();
    if (known.is_remote_only)
    {
        known.until = std::min(known.until, now);
    }
    ++this->changes;
}

void engine_faults::forget_reports(const instance_id& from)
{
    for (auto& [server, known] : this->records)
    {
        this->changes += std::erase_if(
            known.reports,
            [&from](const failed_report& report)
            {
                return report.from == from;
            });
    }
}

void engine_faults::forget_own_failures(time_point now)
{
    for (auto& [server, known] : this->records)
    {
        known.failed_probes = 0;
        known.refusals = 0;
        known.length = duration::zero();
        known.until = std::min(known.until, now);
    }
    ++this->changes;
}

bool engine_faults::last_probe_failed(const server_id& server) const
{
    const auto known = this->records.find(server);
    return known != this->records.end() && known->second.failed_probes > 0;
}

bool engine_faults::is_reported_lost(const record& known, time_point now) const
{
    const std::size_t own = known.failed_probes > 0 ? 1 : 0;
    return !known.reports.empty() &&
           known.reports.size() + own >= this->chosen.instances_to_confirm &&
           now - known.last_remote_report < this->chosen.remote_report_validity;
}

bool engine_faults::is_confirmed_remotely(
    const record& known, time_point now) const
{
    const auto checked = std::ranges::count(
        known.reports, reporter::reaches_others, &failed_report::kind);
    const bool is_checked =
        known.failed_probes > 0 ||
        static_cast<std::size_t>(checked) >= this->chosen.instances_to_confirm;
    return is_checked && this->is_reported_lost(known, now);
}

void engine_faults::probe_succeeded(
    const server_id& server, probed_state state, time_point now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
    {
        return;
    }
    record& known = found->second;
    if (known.failed_probes > 0 ||
        known.fault == engine_fault::in_silent_pipeline)
    {
        known.until = std::min(known.until, now);
    }
    known.failed_probes = 0;
    known.reports.clear();
    known.has_capacity = state != probed_state::busy;
    if (state == probed_state::busy)
    {
        known.refusals = 0;
    }
    if (state == probed_state::leaving && known.refusals > 0)
    {
        known.refusals =
            std::max(known.refusals, this->chosen.refusals_to_confirm);
    }
    ++this->changes;
}

void engine_faults::probe_failed(const server_id& server, time_point now)
{
    record& known = this->records[server];
    known.is_remote_only = false;
    ++known.failed_probes;
    known.until = std::max(known.until, now + this->chosen.max_suspicion);
    known.next_probe = now + this->chosen.probe_interval;
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
engine_faults::take_due_probes(time_point now, remote_reports include)
{
    std::vector<server_id> due;
    for (auto& [server, known] : this->records)
    {
        const bool is_reported = this->is_reported_lost(known, now);
        const bool open =
            now < known.until || known.failed_probes > 0 || is_reported;
        const bool is_doubtful =
            is_reported && !this->is_confirmed_remotely(known, now);
        if (known.is_remote_only && include == remote_reports::excluded &&
            !is_doubtful)
        {
            continue;
        }
        if (open && now >= known.next_probe)
        {
            known.next_probe = now + this->chosen.probe_interval;
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
    return known.failed_probes >= this->chosen.probes_to_confirm;
}

bool engine_faults::is_lost(const record& known, time_point now) const
{
    const bool refuses = known.refusals >= this->chosen.refusals_to_confirm &&
                         known.has_capacity &&
                         now < known.until + this->chosen.refusal_pause;
    const bool has_evidence = this->required == loss_evidence::any_instances ||
                              known.failed_probes > 0;
    return refuses || this->is_gone(known) ||
           (has_evidence && this->is_confirmed_remotely(known, now));
}

std::uint64_t engine_faults::version() const
{
    return this->changes;
}

} // namespace fireflysail
