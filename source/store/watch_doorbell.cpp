#include "store/watch_doorbell.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// The current watch tells of a change within milliseconds.
constexpr duration patience = 600ms;

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
    if (batch.events.empty())
    {
        return;
    }
    // Not the batch's own revision, which counts changes of other kinds.
    const revision last = batch.events.back().object.version;
    const absl::MutexLock lock{&this->mutex};
    if (last > this->newest)
    {
        this->newest = last;
        this->rung_at = this->time.now();
    }
}

bool watch_doorbell::is_overlooked(const watch_hub_status& long_watch) const
{
    const absl::MutexLock lock{&this->mutex};
    return long_watch.watching_since && this->newest > long_watch.position &&
           this->time.now() -
                   std::max(this->rung_at, *long_watch.watching_since) >=
               patience;
}

} // namespace fireflysail
