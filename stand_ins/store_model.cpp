#include "store_model.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflysail
{

namespace
{

/// A blocking watch looks at its own clock this often.
constexpr auto watch_poll = absl::Milliseconds(50);

bool contains(const std::vector<std::string>& kinds, const std::string& kind)
{
    return std::ranges::find(kinds, kind) != kinds.end();
}

bool take_one(std::uint32_t& left)
{
    if (left == 0)
    {
        return false;
    }
    left -= 1;
    return true;
}

} // namespace

store_model::store_model(const clock& time, watch_mode mode, std::uint64_t seed)
    : time{time}
    , mode{mode}
    , random{seed}
{
}

result<stored_object>
store_model::get(const object_key& key, time_point deadline)
{
    {
        const absl::MutexLock lock{&this->mutex};
        this->count(store_call::get, key.kind);
    }
    if (!this->begin_read(store_call::get, deadline))
    {
        return errc::unavailable;
    }
    const absl::MutexLock lock{&this->mutex};
    this->apply_due_writes();
    if (this->frozen)
    {
        const auto& objects = this->frozen->objects;
        const auto found = std::ranges::find(objects, key, &stored_object::key);
        if (found == objects.end())
        {
            return errc::not_found;
        }
        return *found;
    }
    const auto found = this->live.find(key);
    if (found == this->live.end())
    {
        return errc::not_found;
    }
    return found->second;
}

result<store_snapshot>
store_model::list(const std::vector<std::string>& kinds, time_point deadline)
{
    {
        const absl::MutexLock lock{&this->mutex};
        this->counters.calls[static_cast<std::size_t>(store_call::list)] += 1;
        for (const std::string& kind : kinds)
        {
            this->counters.calls_by_kind[kind][static_cast<std::size_t>(
                store_call::list)] += 1;
        }
    }
    if (!this->begin_read(store_call::list, deadline))
    {
        return errc::unavailable;
    }
    const absl::MutexLock lock{&this->mutex};
    this->apply_due_writes();
    const auto wanted = [&kinds](const stored_object& object)
    {
        return contains(kinds, object.key.kind);
    };
    store_snapshot answer;
    if (this->frozen)
    {
        answer.version = this->frozen->version;
        std::ranges::copy_if(
            this->frozen->objects, std::back_inserter(answer.objects), wanted);
        return answer;
    }
    answer.version = this->version;
    for (const auto& [key, object] : this->live)
    {
        if (wanted(object))
        {
            answer.objects.push_back(object);
        }
    }
    return answer;
}

result<revision> store_model::create(
    const object_key& key, const std::string& value, time_point deadline)
{
    return this->perform({store_call::create, key, value, {}}, deadline);
}

result<revision> store_model::update(
    const object_key& key,
    const std::string& value,
    revision expected,
    time_point deadline)
{
    return this->perform({store_call::update, key, value, expected}, deadline);
}

result<revision> store_model::remove(
    const object_key& key, revision expected, time_point deadline)
{
    return this->perform({store_call::remove, key, {}, expected}, deadline);
}

result<watch_batch> store_model::watch(
    const std::vector<std::string>& kinds, revision from, time_point deadline)
{
    {
        const absl::MutexLock lock{&this->mutex};
        this->counters.calls[static_cast<std::size_t>(store_call::watch)] += 1;
        for (const std::string& kind : kinds)
        {
            this->counters.calls_by_kind[kind][static_cast<std::size_t>(
                store_call::watch)] += 1;
        }
    }
    if (!this->begin_read(store_call::watch, deadline))
    {
        return errc::unavailable;
    }
    const absl::MutexLock lock{&this->mutex};
    while (true)
    {
        this->apply_due_writes();
        if (this->current.down)
        {
            return errc::unavailable;
        }
        if (from < this->compacted)
        {
            return errc::compacted;
        }
        watch_batch batch = this->collect(kinds, from);
        const bool waiting = this->mode == watch_mode::blocking &&
                             !this->stopping && this->time.now() < deadline;
        if (!batch.events.empty() || !waiting)
        {
            return batch;
        }
        const revision seen = this->version;
        const auto changed = [this, seen]()
        {
            this->mutex.AssertHeld();
            return this->version != seen || this->stopping ||
                   this->current.down;
        };
        this->mutex.AwaitWithTimeout(absl::Condition(&changed), watch_poll);
    }
}

void store_model::set_faults(const store_faults& next)
{
    const absl::MutexLock lock{&this->mutex};
    this->current = next;
    if (!next.stale_reads)
    {
        this->frozen.reset();
        return;
    }
    if (this->frozen)
    {
        return;
    }
    store_snapshot copy;
    copy.version = this->version;
    for (const auto& [key, object] : this->live)
    {
        copy.objects.push_back(object);
    }
    this->frozen = std::move(copy);
}

store_faults store_model::faults() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->current;
}

void store_model::on_delay(std::function<void(duration)> hook)
{
    const absl::MutexLock lock{&this->mutex};
    this->delay_hook = std::move(hook);
}

void store_model::compact()
{
    const absl::MutexLock lock{&this->mutex};
    this->history.clear();
    this->compacted = this->version;
}

void store_model::limit_history(std::size_t events)
{
    const absl::MutexLock lock{&this->mutex};
    this->history_limit = events;
    this->trim_history();
}

void store_model::flush_late_writes()
{
    const absl::MutexLock lock{&this->mutex};
    const std::vector<late_write> due = std::exchange(this->late, {});
    for (const late_write& one : due)
    {
        (void)this->apply(one.what);
    }
}

std::size_t store_model::late_writes_pending() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->late.size();
}

void store_model::stop_watches()
{
    const absl::MutexLock lock{&this->mutex};
    this->stopping = true;
}

store_truth store_model::truth() const
{
    const absl::MutexLock lock{&this->mutex};
    store_truth answer = this->counters;
    answer.version = this->version;
    answer.objects = this->live.size();
    return answer;
}

std::vector<stored_object> store_model::objects() const
{
    const absl::MutexLock lock{&this->mutex};
    std::vector<stored_object> answer;
    for (const auto& [key, object] : this->live)
    {
        answer.push_back(object);
    }
    return answer;
}

result<revision> store_model::perform(const write& what, time_point deadline)
{
    duration delay{0};
    fate drawn = fate::served;
    {
        const absl::MutexLock lock{&this->mutex};
        this->count(what.call, what.key.kind);
        this->apply_due_writes();
        drawn = this->draw_fate(what.call);
        delay = this->current.delay;
        const bool too_slow =
            delay > duration::zero() && this->time.now() + delay > deadline;
        if (drawn == fate::late || (drawn == fate::served && too_slow))
        {
            const duration by =
                drawn == fate::late ? this->current.late_by : delay;
            this->late.push_back({this->time.now() + by, what});
            return errc::unknown_effect;
        }
    }
    if (drawn == fate::refused)
    {
        return errc::unavailable;
    }
    if (drawn == fate::request_lost)
    {
        return errc::unknown_effect;
    }
    this->delay_call(delay);
    const absl::MutexLock lock{&this->mutex};
    const result<revision> outcome = this->apply(what);
    if (drawn == fate::answer_lost)
    {
        return errc::unknown_effect;
    }
    return outcome;
}

store_model::fate store_model::draw_fate(store_call call)
{
    if (this->current.down || this->chance(this->current.refused_chance))
    {
        return fate::refused;
    }
    const bool writes = call == store_call::create ||
                        call == store_call::update ||
                        call == store_call::remove;
    if (!writes)
    {
        return fate::served;
    }
    if (take_one(this->current.lost_answers) ||
        this->chance(this->current.lost_answer_chance))
    {
        return fate::answer_lost;
    }
    if (take_one(this->current.lost_requests) ||
        this->chance(this->current.lost_request_chance))
    {
        return fate::request_lost;
    }
    if (take_one(this->current.late_writes) ||
        this->chance(this->current.late_write_chance))
    {
        return fate::late;
    }
    return fate::served;
}

bool store_model::chance(double of)
{
    return of > 0 && std::bernoulli_distribution{of}(this->random);
}

void store_model::count(store_call call, const std::string& kind)
{
    const auto index = static_cast<std::size_t>(call);
    this->counters.calls[index] += 1;
    this->counters.calls_by_kind[kind][index] += 1;
}

result<revision> store_model::apply(const write& what)
{
    const auto found = this->live.find(what.key);
    const bool exists = found != this->live.end();
    if (what.call == store_call::create && exists)
    {
        return errc::conflict;
    }
    if (what.call != store_call::create)
    {
        if (!exists)
        {
            return errc::not_found;
        }
        if (found->second.version != what.expected)
        {
            return errc::conflict;
        }
    }
    this->version = this->version.next();
    this->counters.writes_applied += 1;
    const stored_object object{what.key, what.value, this->version};
    if (what.call == store_call::remove)
    {
        this->live.erase(found);
        this->history.push_back({store_event::change::removed, object});
    }
    else
    {
        this->live[what.key] = object;
        this->history.push_back({store_event::change::written, object});
    }
    this->trim_history();
    return this->version;
}

void store_model::apply_due_writes()
{
    const time_point now = this->time.now();
    const auto due = [now](const late_write& one)
    {
        return one.due <= now;
    };
    for (const late_write& one : this->late)
    {
        if (due(one))
        {
            (void)this->apply(one.what);
        }
    }
    std::erase_if(this->late, due);
}

void store_model::trim_history()
{
    if (this->history.size() <= this->history_limit)
    {
        return;
    }
    const auto surplus = this->history.size() - this->history_limit;
    const auto end =
        this->history.begin() + static_cast<std::ptrdiff_t>(surplus);
    this->compacted = std::prev(end)->object.version;
    this->history.erase(this->history.begin(), end);
}

bool store_model::begin_read(store_call call, time_point deadline)
{
    duration delay{0};
    {
        const absl::MutexLock lock{&this->mutex};
        if (this->draw_fate(call) == fate::refused)
        {
            return false;
        }
        delay = this->current.delay;
        if (delay > duration::zero() && this->time.now() + delay > deadline)
        {
            return false;
        }
    }
    this->delay_call(delay);
    return true;
}

watch_batch
store_model::collect(const std::vector<std::string>& kinds, revision from) const
{
    watch_batch batch;
    batch.next = std::max(this->version, from);
    const auto first = std::ranges::upper_bound(
        this->history,
        from,
        {},
        [](const store_event& event)
        {
            return event.object.version;
        });
    std::copy_if(
        first,
        this->history.end(),
        std::back_inserter(batch.events),
        [&kinds](const store_event& event)
        {
            return contains(kinds, event.object.key.kind);
        });
    return batch;
}

void store_model::delay_call(duration by)
{
    if (by <= duration::zero())
    {
        return;
    }
    std::function<void(duration)> hook;
    {
        const absl::MutexLock lock{&this->mutex};
        hook = this->delay_hook;
    }
    if (hook)
    {
        hook(by);
    }
}

} // namespace fireflysail
