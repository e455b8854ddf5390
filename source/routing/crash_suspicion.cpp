#include "routing/crash_suspicion.hpp"

#include "common/hash.hpp"
#include "common/invariant.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace fireflysail
{

namespace
{

/// Share of crashes at which a fingerprint is quarantined. A single known
/// suspect in flight at a crash gets all of it.
constexpr double quarantine_threshold = 1.0;
/// Extensions of a quarantine by less than this are ignored: they come from the
/// transmission time of a record between peers.
constexpr duration min_extension = std::chrono::seconds{1};

} // namespace

crash_suspicion::crash_suspicion(const options& chosen)
    : chosen{chosen}
{
}

crash_status crash_suspicion::status_of(fingerprint print, time_point now) const
{
    const auto found = this->records.find(print);
    if (found == this->records.end())
    {
        return {};
    }
    if (found->second.quarantined_until > now)
    {
        return {
            suspicion_level::quarantined,
            found->second.quarantined_until - now};
    }
    if (this->is_known_suspect(print, now))
    {
        return {suspicion_level::suspect, {}};
    }
    return {};
}

/// A fingerprint remains a suspect for suspicion_lifetime after its quarantine.
bool crash_suspicion::is_known_suspect(fingerprint print, time_point now) const
{
    const auto found = this->records.find(print);
    if (found == this->records.end())
    {
        return false;
    }
    const time_point since =
        std::max(found->second.last_crash, found->second.quarantined_until);
    return now < since + this->chosen.suspicion_lifetime;
}

std::vector<fingerprint> crash_suspicion::known_suspects(
    std::span<const request_in_flight> in_flight, time_point now) const
{
    std::set<fingerprint> known;
    for (const request_in_flight& request : in_flight)
    {
        if (this->is_known_suspect(request.print, now))
        {
            known.insert(request.print);
        }
    }
    return {known.begin(), known.end()};
}

std::vector<crash_verdict> crash_suspicion::on_loss(
    const server_id& server,
    loss_kind kind,
    std::span<const request_in_flight> in_flight,
    time_point now)
{
    const auto suspects = this->known_suspects(in_flight, now);
    for (const fingerprint print : suspects)
    {
        this->end_isolation(this->records.at(print));
    }
    if (kind == loss_kind::crash)
    {
        loss entry{server, now, {}};
        if (this->has_common_cause(server, now))
        {
            this->clear_recent_suspects();
        }
        else if (suspects.empty())
        {
            this->suspect_all(entry, in_flight, now);
        }
        else
        {
            this->attribute_crash(suspects, now);
        }
        this->recent_losses.push_back(std::move(entry));
    }
    std::vector<crash_verdict> verdicts;
    verdicts.reserve(in_flight.size());
    for (const request_in_flight& request : in_flight)
    {
        switch (this->status_of(request.print, now).level)
        {
        case suspicion_level::normal:
            verdicts.push_back(crash_verdict::retry_freely);
            break;
        case suspicion_level::suspect:
            verdicts.push_back(crash_verdict::retry_isolated);
            break;
        case suspicion_level::quarantined:
            verdicts.push_back(crash_verdict::quarantined);
            break;
        }
    }
    return verdicts;
}

bool crash_suspicion::has_common_cause(const server_id& server, time_point now)
{
    while (!this->recent_losses.empty() &&
           this->recent_losses.front().when + this->chosen.common_cause_window <
               now)
    {
        this->recent_losses.pop_front();
    }
    std::set<server_id> servers{server};
    for (const loss& recent : this->recent_losses)
    {
        servers.insert(recent.server);
    }
    return servers.size() >= this->chosen.common_cause_servers;
}

/// Clears the suspects of recent losses that turned out to have a common cause.
void crash_suspicion::clear_recent_suspects()
{
    for (loss& recent : this->recent_losses)
    {
        for (const fingerprint print : recent.new_suspects)
        {
            this->clear(print);
        }
        recent.new_suspects.clear();
    }
}

void crash_suspicion::suspect_all(
    loss& entry, std::span<const request_in_flight> in_flight, time_point now)
{
    this->evict_inactive(now);
    for (const request_in_flight& request : in_flight)
    {
        record& suspect = this->records[request.print];
        suspect.share += 1.0 / static_cast<double>(in_flight.size());
        suspect.crashes = 1;
        suspect.observed_locally = true;
        suspect.last_crash = now;
        suspect.crash_point = std::max(suspect.crash_point, request.delivered);
        entry.new_suspects.push_back(request.print);
    }
}

/// Divides the crash among the known suspects only: a request that was in
/// flight at an earlier crash is far more likely to be the cause than any
/// other.
void crash_suspicion::attribute_crash(
    std::span<const fingerprint> suspects, time_point now)
{
    for (const fingerprint print : suspects)
    {
        record& suspect = this->records.at(print);
        suspect.share += 1.0 / static_cast<double>(suspects.size());
        ++suspect.crashes;
        suspect.observed_locally = true;
        suspect.last_crash = now;
        if (suspect.share >= quarantine_threshold)
        {
            this->quarantine(suspect, now);
        }
    }
}

void crash_suspicion::quarantine(record& suspect, time_point now)
{
    const double factor =
        std::pow(this->chosen.quarantine_growth, suspect.quarantines);
    using float_seconds = std::chrono::duration<double>;
    const float_seconds length = std::min(
        float_seconds{this->chosen.initial_quarantine} * factor,
        float_seconds{this->chosen.max_quarantine});
    suspect.quarantined_until =
        now + std::chrono::duration_cast<duration>(length);
    ++suspect.quarantines;
}

bool crash_suspicion::try_isolate(
    fingerprint print, std::span<const server_id> servers, time_point now)
{
    if (this->status_of(print, now).level != suspicion_level::suspect)
    {
        return false;
    }
    record& suspect = this->records.at(print);
    const bool taken = std::ranges::any_of(
        servers,
        [&](const server_id& server)
        {
            return this->isolation.contains(server);
        });
    if (taken || !suspect.isolated_on.empty())
    {
        return false;
    }
    suspect.isolated_on.assign(servers.begin(), servers.end());
    for (const server_id& server : servers)
    {
        this->isolation.emplace(server, print);
    }
    return true;
}

void crash_suspicion::end_isolation(record& suspect)
{
    for (const server_id& server : suspect.isolated_on)
    {
        this->isolation.erase(server);
    }
    suspect.isolated_on.clear();
}

void crash_suspicion::on_progress(fingerprint print, token_index delivered)
{
    const auto found = this->records.find(print);
    if (found == this->records.end())
    {
        return;
    }
    const std::uint32_t cleared_at =
        found->second.crash_point.value() + this->chosen.clearing_tokens;
    if (delivered.value() >= cleared_at)
    {
        this->clear(print);
    }
}

void crash_suspicion::on_completed(fingerprint print)
{
    this->clear(print);
}

void crash_suspicion::on_interrupted(fingerprint print)
{
    const auto found = this->records.find(print);
    if (found != this->records.end())
    {
        this->end_isolation(found->second);
    }
}

void crash_suspicion::clear(fingerprint print)
{
    const auto found = this->records.find(print);
    if (found != this->records.end())
    {
        this->end_isolation(found->second);
        this->records.erase(found);
    }
}

bool crash_suspicion::runs_suspect(const server_id& server) const
{
    return this->isolation.contains(server);
}

/// Once the table is full, drops all records without a quarantine in force or
/// an isolated attempt.
void crash_suspicion::evict_inactive(time_point now)
{
    if (this->records.size() < this->chosen.max_records)
    {
        return;
    }
    std::vector<fingerprint> dropped;
    for (const auto& [print, kept] : this->records)
    {
        if (kept.quarantined_until <= now && kept.isolated_on.empty())
        {
            dropped.push_back(print);
        }
    }
    for (const fingerprint print : dropped)
    {
        this->clear(print);
    }
}

std::vector<crash_record> crash_suspicion::export_records(time_point now) const
{
    std::vector<std::pair<time_point, crash_record>> latest;
    for (const auto& [print, kept] : this->records)
    {
        const duration left =
            std::max(kept.quarantined_until - now, duration::zero());
        const bool exportable =
            kept.observed_locally || left > duration::zero();
        if (!exportable || !this->is_known_suspect(print, now))
        {
            continue;
        }
        latest.emplace_back(
            kept.last_crash,
            crash_record{
                print,
                kept.crashes,
                kept.quarantines,
                now - kept.last_crash,
                left});
    }
    std::ranges::sort(latest, std::greater{});
    latest.resize(std::min(latest.size(), this->chosen.max_exported));
    std::vector<crash_record> exported;
    exported.reserve(latest.size());
    for (const auto& [when, entry] : latest)
    {
        exported.push_back(entry);
    }
    return exported;
}

void crash_suspicion::import_record(
    const crash_record& imported, time_point now)
{
    const duration left =
        std::min(imported.quarantined_for, this->chosen.max_quarantine);
    this->evict_inactive(now);
    record& own = this->records[imported.print];
    own.crashes = std::max(own.crashes, imported.crashes);
    own.quarantines = std::max(own.quarantines, imported.quarantines);
    own.last_crash = std::max(own.last_crash, now - imported.crashed_ago);
    const bool in_force = left > duration::zero();
    if (in_force && now + left > own.quarantined_until + min_extension)
    {
        own.quarantined_until = now + left;
    }
}

instance_id
isolation_owner(const server_id& server, std::span<const instance_id> alive)
{
    ensure(!alive.empty(), "at least one instance must be alive");
    return *std::ranges::max_element(
        alive,
        {},
        [&](const instance_id& instance)
        {
            return rendezvous_weight(server.str(), instance.str());
        });
}

} // namespace fireflysail
