#include "serving/crash_watch.hpp"

#include <algorithm>
#include <ranges>

namespace fireflysail
{

crash_watch::run::run(crash_watch& owner, fingerprint print)
    : owner{owner}
    , print{print}
{
    const absl::MutexLock lock{&owner.mutex};
    const auto standing = owner.suspicion.status_of(print, owner.time.now());
    this->suspected = standing.level != suspicion_level::normal;
    owner.runs.insert(this);
}

crash_watch::run::~run()
{
    this->end_attempt();
    const absl::MutexLock lock{&this->owner.mutex};
    this->owner.runs.erase(this);
}

attempt_start
crash_watch::run::begin_attempt(const std::vector<server_id>& used)
{
    const absl::MutexLock lock{&this->owner.mutex};
    const auto now = this->owner.time.now();
    // Judged anew each time: another request with the same content may have
    // cleared or convicted it meanwhile.
    const auto standing =
        this->owner.suspicion.status_of(this->print, now).level;
    this->suspected = standing == suspicion_level::suspect;
    if (standing == suspicion_level::quarantined)
    {
        return attempt_start::quarantined;
    }
    if (this->suspected)
    {
        this->isolated =
            this->owner.suspicion.try_isolate(this->print, used, now);
        if (!this->isolated)
        {
            return attempt_start::wait;
        }
    }
    this->servers = used;
    this->judged.reset();
    return attempt_start::go;
}

void crash_watch::run::on_delivered(token_index next)
{
    this->delivered.store(next.value(), std::memory_order_relaxed);
    if (this->suspected.load(std::memory_order_relaxed))
    {
        const absl::MutexLock lock{&this->owner.mutex};
        this->owner.suspicion.on_progress(this->print, next);
    }
}

crash_verdict crash_watch::run::on_lost(const server_id& server)
{
    const absl::MutexLock lock{&this->owner.mutex};
    if (this->judged && this->judged->first == server)
    {
        const auto verdict = this->judged->second;
        this->judged.reset();
        this->servers.clear();
        return verdict;
    }
    // All that ran on the server are judged by one call, whichever of them
    // finds the loss first.
    std::vector<run*> affected;
    std::ranges::copy_if(
        this->owner.runs,
        std::back_inserter(affected),
        [&server](const run* other)
        {
            return std::ranges::find(other->servers, server) !=
                   other->servers.end();
        });
    std::vector<request_in_flight> in_flight;
    std::ranges::transform(
        affected,
        std::back_inserter(in_flight),
        [](const run* other)
        {
            return request_in_flight{
                other->print,
                token_index{other->delivered.load(std::memory_order_relaxed)}};
        });
    const auto verdicts = this->owner.suspicion.on_loss(
        server, loss_kind::crash, in_flight, this->owner.time.now());
    auto own = crash_verdict::retry_freely;
    for (std::size_t i = 0; i < affected.size(); ++i)
    {
        affected[i]->suspected = verdicts[i] != crash_verdict::retry_freely;
        if (affected[i] == this)
        {
            own = verdicts[i];
        }
        else
        {
            affected[i]->judged = {server, verdicts[i]};
        }
    }
    this->servers.clear();
    this->isolated = false;
    return own;
}

void crash_watch::run::end_attempt()
{
    const absl::MutexLock lock{&this->owner.mutex};
    this->servers.clear();
    if (std::exchange(this->isolated, false))
    {
        this->owner.suspicion.on_interrupted(this->print);
    }
}

void crash_watch::run::on_completed()
{
    const absl::MutexLock lock{&this->owner.mutex};
    this->servers.clear();
    if (this->suspected)
    {
        this->owner.suspicion.on_completed(this->print);
    }
}

crash_watch::crash_watch(const clock& time)
    : time{time}
    , suspicion{{}}
{
}

crash_status crash_watch::status_of(fingerprint print) const
{
    const absl::MutexLock lock{&this->mutex};
    return this->suspicion.status_of(print, this->time.now());
}

std::vector<crash_record> crash_watch::export_records() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->suspicion.export_records(this->time.now());
}

void crash_watch::import_records(const std::vector<crash_record>& records)
{
    const absl::MutexLock lock{&this->mutex};
    for (const auto& record : records)
    {
        this->suspicion.import_record(record, this->time.now());
    }
}

} // namespace fireflysail
