#include "store/watch_hub.hpp"

#include "common/guarded.hpp"
#include "common/log.hpp"
#include "common/store_era.hpp"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflysail
{

namespace
{

bool contains(const std::vector<std::string>& kinds, const std::string& kind)
{
    return std::ranges::find(kinds, kind) != kinds.end();
}

std::vector<std::string>
union_of_kinds(const std::vector<store_consumer*>& consumers)
{
    std::vector<std::string> all;
    for (const store_consumer* consumer : consumers)
    {
        std::ranges::copy(consumer->kinds(), std::back_inserter(all));
    }
    std::ranges::sort(all);
    const auto surplus = std::ranges::unique(all);
    all.erase(surplus.begin(), surplus.end());
    return all;
}

store_snapshot
part_of(const store_snapshot& whole, const std::vector<std::string>& kinds)
{
    store_snapshot part;
    part.version = whole.version;
    std::ranges::copy_if(
        whole.objects,
        std::back_inserter(part.objects),
        [&kinds](const stored_object& object)
        {
            return contains(kinds, object.key.kind);
        });
    return part;
}

watch_batch
part_of(const watch_batch& whole, const std::vector<std::string>& kinds)
{
    watch_batch part;
    part.next = whole.next;
    std::ranges::copy_if(
        whole.events,
        std::back_inserter(part.events),
        [&kinds](const store_event& event)
        {
            return contains(kinds, event.object.key.kind);
        });
    return part;
}

} // namespace

watch_hub::watch_hub(
    store& source,
    std::vector<store_consumer*> consumers,
    const clock& time,
    const store_watcher_options& options,
    std::uint64_t seed)
    : source{source}
    , consumers{std::move(consumers)}
    , kinds{union_of_kinds(this->consumers)}
    , time{time}
    , watcher{options, seed}
{
}

watch_hub::~watch_hub()
{
    this->stop();
}

time_point watch_hub::step()
{
    time_point due = this->time.now();
    const bool done = run_guarded(
        "watch",
        [this, &due]
        {
            due = this->carry_out_next();
        });
    if (!done)
    {
        this->watcher.on_interrupted(this->time.now());
        this->publish_status();
    }
    return due;
}

time_point watch_hub::carry_out_next()
{
    const store_watcher::command what = this->watcher.next(this->time.now());
    if (const auto* wait = std::get_if<store_watcher::wait_until>(&what))
    {
        return wait->when;
    }
    if (const auto* list = std::get_if<store_watcher::list_now>(&what))
    {
        this->carry_out(*list);
    }
    if (const auto* watch = std::get_if<store_watcher::watch_now>(&what))
    {
        this->carry_out(*watch);
    }
    this->publish_status();
    return this->time.now();
}

void watch_hub::start()
{
    if (this->thread.joinable())
    {
        return;
    }
    this->thread = std::thread{[this]()
                               {
                                   this->run();
                               }};
}

void watch_hub::stop()
{
    this->stop_request.set();
    if (this->thread.joinable())
    {
        this->thread.join();
    }
}

watch_hub_status watch_hub::status() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->published;
}

void watch_hub::carry_out(const store_watcher::list_now& what)
{
    auto listed = this->source.list(this->kinds, what.deadline);
    const revision version = listed ? listed.value().version : revision{};
    const auto stale_before = this->watcher.counts().stale_lists;
    const auto snapshot =
        this->watcher.on_listed(std::move(listed), this->time.now());
    if (this->watcher.counts().stale_lists != stale_before)
    {
        this->log_stale_list(version);
    }
    if (!snapshot)
    {
        return;
    }
    for (store_consumer* consumer : this->consumers)
    {
        consumer->on_snapshot(part_of(*snapshot, consumer->kinds()));
    }
}

void watch_hub::carry_out(const store_watcher::watch_now& what)
{
    {
        const absl::MutexLock lock{&this->mutex};
        this->published.watching_since = this->time.now();
    }
    const auto batch = this->watcher.on_watched(
        this->source.watch(this->kinds, what.from, what.deadline),
        this->time.now());
    if (!batch)
    {
        return;
    }
    for (store_consumer* consumer : this->consumers)
    {
        consumer->on_events(part_of(*batch, consumer->kinds()));
    }
}

void watch_hub::log_stale_list(revision version) const
{
    const revision view = this->watcher.position();
    log::event(
        log::level::warning,
        log::channel::store,
        "list_older_than_view",
        {{"kinds", absl::StrJoin(this->kinds, ",")},
         {"revision", change_number_of(version)},
         {"era", era_of(version).value()},
         {"view_revision", change_number_of(view)},
         {"view_era", era_of(view).value()}});
}

void watch_hub::publish_status()
{
    const absl::MutexLock lock{&this->mutex};
    this->published = {
        this->watcher.position(),
        this->watcher.last_answer(),
        this->watcher.failing_since(),
        this->watcher.counts(),
        std::nullopt};
}

void watch_hub::run()
{
    bool is_stopped = false;
    while (!is_stopped)
    {
        const time_point due = this->step();
        is_stopped = this->stop_request.wait_for(due - this->time.now());
    }
}

} // namespace fireflysail
