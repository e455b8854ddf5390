#include "store/watch_progress.hpp"

#include "common/hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

std::string name_of(const object_key& key)
{
    return fmt::format("{}/{}", key.kind, key.name);
}

std::uint64_t digest_of(const std::string& name, revision version)
{
    return stable_hash(fmt::format("{}@{}", name, version.value()));
}

} // namespace

watch_progress::watch_progress(
    std::vector<std::string> kinds,
    std::function<void(const view_position&)> on_answer)
    : watched{std::move(kinds)}
    , on_answer{std::move(on_answer)}
{
}

std::vector<std::string> watch_progress::kinds() const
{
    return this->watched;
}

void watch_progress::on_snapshot(const store_snapshot& snapshot)
{
    this->versions.clear();
    this->digest = 0;
    for (const stored_object& object : snapshot.objects)
    {
        this->set_version(object.key, object.version);
    }
    // A snapshot does not show when objects were removed.
    this->publish(snapshot.version);
}

void watch_progress::on_events(const watch_batch& batch)
{
    for (const store_event& event : batch.events)
    {
        const bool is_removed = event.what == store_event::change::removed;
        this->set_version(
            event.object.key,
            is_removed ? std::nullopt : std::optional{event.object.version});
    }
    if (batch.events.empty())
    {
        this->publish({});
        return;
    }
    // The revision of a removal is not known, except that it is in the batch.
    const store_event& last = batch.events.back();
    this->publish(
        last.what == store_event::change::removed ? batch.next
                                                  : last.object.version);
}

view_position watch_progress::position() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->reached;
}

void watch_progress::set_version(
    const object_key& key, std::optional<revision> version)
{
    const std::string name = name_of(key);
    const auto known = this->versions.find(name);
    if (known != this->versions.end())
    {
        this->digest ^= digest_of(name, known->second);
        this->versions.erase(known);
    }
    if (version)
    {
        this->digest ^= digest_of(name, *version);
        this->versions.emplace(name, *version);
    }
}

void watch_progress::publish(revision newest)
{
    view_position now_reached;
    {
        const absl::MutexLock lock{&this->mutex};
        this->reached.newest_change =
            std::max(this->reached.newest_change, newest);
        this->reached.digest = this->digest;
        now_reached = this->reached;
    }
    this->on_answer(now_reached);
}

} // namespace fireflysail
