#include "backend/stream_watchdog.hpp"

#include <limits>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr std::chrono::milliseconds scan_interval{10};
constexpr auto no_deadline = std::numeric_limits<duration::rep>::max();

} // namespace

stream_watchdog::watch::watch(stream_watchdog& owner, std::function<void()> cut)
    : owner{owner}
    , cut{std::move(cut)}
    , deadline{no_deadline}
{
    const std::lock_guard lock{owner.mutex};
    this->position = owner.watches.insert(owner.watches.end(), this);
    owner.changed.notify_one();
}

stream_watchdog::watch::~watch()
{
    const std::lock_guard lock{this->owner.mutex};
    this->owner.watches.erase(this->position);
}

void stream_watchdog::watch::expect_by(time_point when)
{
    this->deadline.store(
        when.time_since_epoch().count(), std::memory_order_relaxed);
}

bool stream_watchdog::watch::expired() const
{
    return this->was_cut.load(std::memory_order_acquire);
}

stream_watchdog::stream_watchdog(const clock& time)
    : time{time}
    , scanner{[this]
              {
                  this->run();
              }}
{
}

stream_watchdog::~stream_watchdog()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopped = true;
    }
    this->changed.notify_one();
    this->scanner.join();
}

void stream_watchdog::scan()
{
    const auto now = this->time.now().time_since_epoch().count();
    for (watch* watched : this->watches)
    {
        if (watched->deadline.load(std::memory_order_relaxed) <= now &&
            !watched->was_cut.exchange(true))
        {
            watched->cut();
        }
    }
}

void stream_watchdog::run()
{
    std::unique_lock lock{this->mutex};
    while (!this->stopped)
    {
        if (this->watches.empty())
        {
            this->changed.wait(lock);
            continue;
        }
        this->scan();
        this->changed.wait_for(lock, scan_interval);
    }
}

} // namespace fireflysail
