#include "store/call_watchdog.hpp"

#include <algorithm>
#include <chrono>

namespace fireflysail
{

namespace
{

constexpr duration longest_wait = std::chrono::seconds{1};

} // namespace

call_watchdog::guard::guard(
    call_watchdog& owner, time_point deadline, std::function<void()> cut)
    : owner{owner}
    , place{owner.add(deadline, std::move(cut))}
{
}

call_watchdog::guard::~guard()
{
    this->owner.remove(this->place);
}

call_watchdog::call_watchdog(const clock& time)
    : time{time}
    , thread{[this]()
             {
                 this->run();
             }}
{
}

call_watchdog::~call_watchdog()
{
    {
        const absl::MutexLock lock{&this->mutex};
        this->stopping = true;
    }
    this->changed.set();
    this->thread.join();
}

call_watchdog::place
call_watchdog::add(time_point deadline, std::function<void()> cut)
{
    const absl::MutexLock lock{&this->mutex};
    const place where{deadline, this->next_number++};
    const auto added = this->calls.emplace(where, std::move(cut)).first;
    // Only a new earliest deadline needs to wake the thread.
    if (added == this->calls.begin())
    {
        this->changed.set();
    }
    return where;
}

void call_watchdog::remove(const place& where)
{
    const absl::MutexLock lock{&this->mutex};
    this->calls.erase(where);
}

void call_watchdog::run()
{
    while (const auto wait = this->cut_due())
    {
        this->changed.wait_for(*wait);
    }
}

std::optional<duration> call_watchdog::cut_due()
{
    const absl::MutexLock lock{&this->mutex};
    if (this->stopping)
    {
        return std::nullopt;
    }
    const time_point now = this->time.now();
    while (!this->calls.empty() && this->calls.begin()->first.first <= now)
    {
        // Under the lock, so that a guard cannot end while its call is being
        // cut.
        this->calls.begin()->second();
        this->calls.erase(this->calls.begin());
    }
    return this->calls.empty()
               ? longest_wait
               : std::min(longest_wait, this->calls.begin()->first.first - now);
}

} // namespace fireflysail
