#include "control/crash_registry.hpp"

#include "common/error.hpp"
#include "common/hash.hpp"
#include "common/log.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

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

/// Another instance writes a quarantine that it found; if it is not in the
/// store after this time, that instance was lost, and this one writes it.
constexpr duration write_for_others_after = 8s;

/// Quarantines told again at once.
constexpr std::size_t max_repeated_news = 8;

/// Objects of quarantined parts, beside those of fingerprints.
constexpr std::string_view parts_prefix = "parts-";

std::string object_name(fingerprint print)
{
    return fmt::format("{:016x}", print.value());
}

std::vector<std::uint64_t> numbers_of(std::span<const prompt_part> parts)
{
    std::vector<std::uint64_t> numbers;
    std::ranges::transform(
        parts, std::back_inserter(numbers), &prompt_part::value);
    return numbers;
}

/// In hexadecimal, separated by commas; the value of the store's object.
std::string text_of(std::span<const prompt_part> parts)
{
    return fmt::format("{:016x}", fmt::join(numbers_of(parts), ","));
}

std::string object_name(std::span<const prompt_part> parts)
{
    return fmt::format("{}{:016x}", parts_prefix, stable_hash(text_of(parts)));
}

std::vector<prompt_part> parse_parts(std::string_view text)
{
    std::vector<prompt_part> parts;
    for (const auto word :
         absl::StrSplit(absl::string_view{text.data(), text.size()}, ','))
    {
        std::uint64_t value = 0;
        if (!absl::SimpleHexAtoi(word, &value))
        {
            return {};
        }
        parts.emplace_back(value);
    }
    std::ranges::sort(parts);
    return parts;
}

} // namespace

crash_registry::crash_registry(store& objects, const clock& time)
    : objects{objects}
    , time{time}
    , suspicions{suspicion_options()}
    , prompts{prompt_suspicion::options{}}
{
}

void crash_registry::set_share(std::function<void(const crash_news&)> share)
{
    this->share = std::move(share);
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

crash_status crash_registry::status_of(const request_content& content) const
{
    if (!this->suspects_prompts)
    {
        return {};
    }
    const absl::MutexLock lock{&this->mutex};
    return this->prompts.status_of(content, this->time.now());
}

crash_registry::admission crash_registry::admit(const request_content& content)
{
    if (!this->suspects_prompts)
    {
        return {};
    }
    std::optional<part_quarantine> trial;
    crash_status status;
    {
        const absl::MutexLock lock{&this->mutex};
        const time_point now = this->time.now();
        status = this->prompts.status_of(content, now);
        trial = this->prompts.begin_trial(content, now);
        if (trial)
        {
            ++this->totals.trials;
            this->note_quarantine(*trial, "trial");
        }
    }
    if (trial)
    {
        this->share(*trial);
    }
    return {status, trial.has_value()};
}

void crash_registry::on_run_crashed(const crashed_run& run)
{
    this->share(run);
    this->record_crash(run, true);
}

void crash_registry::record_crash(const crashed_run& run, bool is_own)
{
    std::optional<part_quarantine> begun;
    {
        const absl::MutexLock lock{&this->mutex};
        ++this->totals.crashed_runs;
        begun = this->prompts.on_crashed(run, this->time.now());
        if (begun)
        {
            this->note_quarantine(*begun, is_own ? "own_run" : "peer_run");
        }
        this->update_plans(is_own ? duration{} : write_for_others_after);
    }
    if (is_own)
    {
        log::event(
            log::level::warning,
            log::channel::routing,
            "run_crashed",
            {{"fingerprint", object_name(run.content.whole)},
             {"server", run.server.str()},
             {"answered", run.answered},
             {"parts", text_of(run.content.parts)}});
    }
    if (begun && is_own)
    {
        this->share(*begun);
    }
}

void crash_registry::on_run_begun(const request_content& content)
{
    if (!this->suspects_prompts)
    {
        return;
    }
    begun_parts cleared;
    {
        const absl::MutexLock lock{&this->mutex};
        cleared = this->prompts.on_begun(content, this->time.now());
        this->update_plans({});
    }
    if (!cleared.parts.empty())
    {
        this->share(cleared);
    }
}

void crash_registry::on_peer_news(const crash_news& news)
{
    if (const auto* run = std::get_if<crashed_run>(&news))
    {
        this->record_crash(*run, false);
        return;
    }
    if (const auto* told = std::get_if<part_quarantine>(&news))
    {
        this->import_quarantine(*told);
        return;
    }
    const absl::MutexLock lock{&this->mutex};
    this->prompts.clear(std::get<begun_parts>(news), this->time.now());
    this->update_plans(write_for_others_after);
}

void crash_registry::import_quarantine(const part_quarantine& told)
{
    prompt_suspicion::import_result imported;
    {
        const absl::MutexLock lock{&this->mutex};
        imported = this->prompts.import_quarantine(told, this->time.now());
        if (imported.is_new)
        {
            this->note_quarantine(told, "peer");
        }
        this->update_plans(write_for_others_after);
    }
    if (!imported.outdated.parts.empty())
    {
        this->share(imported.outdated);
    }
}

std::vector<crash_news> crash_registry::news_to_repeat()
{
    if (!this->suspects_prompts)
    {
        return {};
    }
    const absl::MutexLock lock{&this->mutex};
    const auto known =
        this->prompts.export_quarantines(max_repeated_news, this->time.now());
    return {known.begin(), known.end()};
}

void crash_registry::note_quarantine(
    const part_quarantine& begun, std::string_view cause)
{
    ++this->totals.quarantines;
    log::event(
        log::level::warning,
        log::channel::routing,
        "prompt_quarantined",
        {{"parts", text_of(begun.parts)},
         {"count", begun.count},
         {"seconds", std::chrono::duration<double>{begun.left}.count()},
         {"cause", cause}});
}

void crash_registry::update_plans(duration write_delay)
{
    this->suspects_prompts = !this->prompts.empty();
    const time_point due = this->time.now() + write_delay;
    const auto plan = [this, due](const std::string& name, std::string value)
    {
        const auto [found, is_new] =
            this->pending.try_emplace(name, pending_write{value, due});
        if (!is_new)
        {
            found->second = {
                std::move(value), std::min(found->second.due, due)};
        }
    };
    for (const auto& parts : this->prompts.quarantined_parts())
    {
        const std::string name = object_name(parts);
        if (!this->stored.contains(name))
        {
            plan(name, text_of(parts));
        }
    }
    for (const auto& [name, object] : this->stored)
    {
        if (!this->prompts.has_quarantine(parse_parts(object.value)))
        {
            plan(name, {});
        }
    }
}

crash_registry::counts crash_registry::counted() const
{
    const absl::MutexLock lock{&this->mutex};
    counts now_counted = this->totals;
    now_counted.suspected_parts = this->prompts.suspect_count();
    now_counted.quarantined_parts =
        this->prompts.quarantine_count(this->time.now());
    return now_counted;
}

void crash_registry::publish()
{
    this->publish_fingerprints();
    this->publish_quarantines();
}

void crash_registry::publish_fingerprints()
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

std::vector<std::pair<std::string, std::string>>
crash_registry::take_due_writes()
{
    const absl::MutexLock lock{&this->mutex};
    std::vector<std::pair<std::string, std::string>> due;
    absl::erase_if(
        this->pending,
        [this, now = this->time.now(), &due](const auto& item)
        {
            const auto& [name, planned] = item;
            if (planned.due > now)
            {
                return false;
            }
            const auto parts = parse_parts(planned.value);
            const bool is_removal = planned.value.empty();
            const bool is_needed =
                is_removal ? this->stored.contains(name)
                           : !this->stored.contains(name) &&
                                 this->prompts.has_quarantine(parts);
            if (is_needed)
            {
                due.emplace_back(name, planned.value);
            }
            return true;
        });
    return due;
}

void crash_registry::publish_quarantines()
{
    for (const auto& [name, value] : this->take_due_writes())
    {
        const auto written = this->write(name, value);
        const bool is_settled = written || written.error() == errc::conflict ||
                                written.error() == errc::not_found;
        const absl::MutexLock lock{&this->mutex};
        if (!is_settled)
        {
            this->pending.try_emplace(
                name, pending_write{value, this->time.now()});
            log::event(
                log::level::warning,
                log::channel::control,
                "prompt_quarantine_untold",
                {{"object", name}, {"error", written.error().message()}});
        }
        else if (value.empty())
        {
            this->stored.erase(name);
        }
        else if (written)
        {
            this->stored[name] = {{kind, name}, value, written.value()};
        }
    }
}

/// Creates the object, or removes it where there is no value.
result<revision>
crash_registry::write(const std::string& name, const std::string& value)
{
    const time_point deadline = this->time.now() + short_call_time;
    const object_key key{kind, name};
    if (!value.empty())
    {
        return this->objects.create(key, value, deadline);
    }
    revision version;
    {
        const absl::MutexLock lock{&this->mutex};
        const auto found = this->stored.find(name);
        if (found == this->stored.end())
        {
            return errc::not_found;
        }
        version = found->second.version;
    }
    return this->objects.remove(key, version, deadline);
}

std::vector<std::string> crash_registry::kinds() const
{
    return {kind};
}

void crash_registry::on_snapshot(const store_snapshot& snapshot)
{
    {
        const absl::MutexLock lock{&this->mutex};
        this->stored.clear();
    }
    std::ranges::for_each(
        snapshot.objects,
        [this](const stored_object& object)
        {
            this->import_object(object);
        });
    // A store that came back from an older copy lacks what it had taken.
    const absl::MutexLock lock{&this->mutex};
    this->update_plans(write_for_others_after);
}

void crash_registry::on_events(const watch_batch& batch)
{
    for (const store_event& event : batch.events)
    {
        if (event.what == store_event::change::written)
        {
            this->import_object(event.object);
            continue;
        }
        const absl::MutexLock lock{&this->mutex};
        this->stored.erase(event.object.key.name);
    }
}

void crash_registry::import_object(const stored_object& object)
{
    if (object.key.name.starts_with(parts_prefix))
    {
        this->import_parts(object);
    }
    else
    {
        this->import_fingerprint(object);
    }
}

void crash_registry::import_fingerprint(const stored_object& object)
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

/// The store says nothing of when the quarantine began: whatever other
/// instances know of its parts is newer.
void crash_registry::import_parts(const stored_object& object)
{
    const prompt_suspicion::options limits;
    const part_quarantine written{
        parse_parts(object.value),
        1,
        limits.evidence_lifetime,
        limits.initial_quarantine};
    if (written.parts.empty())
    {
        return;
    }
    const absl::MutexLock lock{&this->mutex};
    this->stored[object.key.name] = object;
    const bool is_new =
        !this->prompts.has_quarantine(written.parts) &&
        this->prompts.import_quarantine(written, this->time.now()).is_new;
    if (is_new)
    {
        this->note_quarantine(written, "store");
    }
    this->update_plans(write_for_others_after);
}

} // namespace fireflysail
