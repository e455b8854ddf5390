#include "control/crash_registry.hpp"

#include "common/error.hpp"
#include "common/log.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// A suspicion expires after this time. Callers resend within their time limit,
/// so a request that does crash servers would have been seen again by then.
constexpr duration suspicion_timeout = 12s;

/// First quarantine of a request that crashed two engines: much longer than the
/// few seconds that an engine takes to restart after a crash.
constexpr duration first_quarantine_duration = 60s;

crash_suspicion::options suspicion_options()
{
    crash_suspicion::options options;
    options.suspicion_lifetime = suspicion_timeout;
    options.initial_quarantine = first_quarantine_duration;
    return options;
}

std::string object_name(fingerprint print)
{
    return fmt::format("{:016x}", print.value());
}

} // namespace

crash_registry::crash_registry(store& objects, const clock& time)
    : objects{objects}
    , time{time}
    , suspicions{suspicion_options()}
{
}

crash_status crash_registry::status_of(fingerprint print) const
{
    const absl::MutexLock lock{&this->mutex};
    return this->suspicions.status_of(print, this->time.now());
}

void crash_registry::on_crash(const server_id& server, fingerprint print)
{
    const absl::MutexLock lock{&this->mutex};
    const std::array in_flight{request_in_flight{print, token_index{}}};
    const auto verdicts = this->suspicions.on_loss(
        server, loss_kind::crash, in_flight, this->time.now());
    this->unpublished.push_back(print);
    log::event(
        log::level::warning,
        log::channel::routing,
        "crash_suspected",
        {{"fingerprint", object_name(print)},
         {"server", server.str()},
         {"quarantined", verdicts.front() == crash_verdict::quarantined}});
}

void crash_registry::publish()
{
    std::vector<fingerprint> prints;
    {
        const absl::MutexLock lock{&this->mutex};
        prints.swap(this->unpublished);
    }
    for (const fingerprint print : prints)
    {
        const auto created = this->objects.create(
            {kind, object_name(print)},
            "1",
            this->time.now() + short_call_time);
        // A conflict means that another instance has already published it.
        if (created || created.error() == errc::conflict)
        {
            continue;
        }
        log::event(
            log::level::warning,
            log::channel::control,
            "crash_suspicion_untold",
            {{"fingerprint", object_name(print)},
             {"error", created.error().message()}});
        const absl::MutexLock lock{&this->mutex};
        this->unpublished.push_back(print);
    }
}

std::vector<std::string> crash_registry::kinds() const
{
    return {kind};
}

void crash_registry::on_snapshot(const store_snapshot& snapshot)
{
    std::ranges::for_each(
        snapshot.objects,
        [this](const stored_object& object)
        {
            this->import_object(object);
        });
}

void crash_registry::on_events(const watch_batch& batch)
{
    for (const store_event& event : batch.events)
    {
        if (event.what == store_event::change::written)
        {
            this->import_object(event.object);
        }
    }
}

void crash_registry::import_object(const stored_object& object)
{
    std::uint64_t value = 0;
    if (!absl::SimpleHexAtoi(object.key.name, &value))
    {
        return;
    }
    crash_record record;
    record.print = fingerprint{value};
    record.crashes = 1;
    const absl::MutexLock lock{&this->mutex};
    this->suspicions.import_record(record, this->time.now());
}

} // namespace fireflysail
