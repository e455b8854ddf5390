#include "store/watch_doorbell.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// The current watch tells of a change within milliseconds; it may be about to
/// start, so that it gets its interval on top before it counts as silent.
constexpr duration patience = 600ms;

/// The last change in the batch. The revision of a removal is not told, but it
/// is no later than the batch.
revision newest_in(const watch_batch& batch)
{
    revision newest;
    for (const store_event& event : batch.events)
    {
        newest = std::max(
            newest,
            event.what == store_event::change::removed ? batch.next
                                                       : event.object.version);
    }
    return newest;
}

} // namespace

watch_doorbell::watch_doorbell(
    std::vector<std::string> kinds,
    const clock& time,
    std::function<void()> on_contact)
    : watched{std::move(kinds)}
    , time{time}
    , on_contact{std::move(on_contact)}
{
}

std::vector<std::string> watch_doorbell::kinds() const
{
    return this->watched;
}

void watch_doorbell::on_snapshot(const store_snapshot&)
{
    this->on_contact();
}

void watch_doorbell::on_events(const watch_batch& batch)
{
    this->on_contact();
    const revision newest = newest_in(batch);
    const absl::MutexLock lock{&this->mutex};
    if (newest > this->newest)
    {
        this->newest = newest;
        this->rung_at = this->time.now();
    }
}

bool watch_doorbell::is_overlooked(revision position) const
{
    const absl::MutexLock lock{&this->mutex};
    return this->newest > position &&
           this->time.now() - this->rung_at >= patience;
}

} // namespace fireflysail
