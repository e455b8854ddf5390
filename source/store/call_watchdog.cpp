#include "store/call_watchdog.hpp"

#include <absl/time/time.h>

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
    this->thread.join();
}

call_watchdog::place
call_watchdog::add(time_point deadline, std::function<void()> cut)
{
    const absl::MutexLock lock{&this->mutex};
    const place where{deadline, this->next_number++};
    const auto added = this->calls.emplace(where, std::move(cut)).first;
    // Only a new earliest deadline needs to wake the thread.
    this->changed = this->changed || added == this->calls.begin();
    return where;
}

void call_watchdog::remove(const place& where)
{
    const absl::MutexLock lock{&this->mutex};
    this->calls.erase(where);
}

void call_watchdog::run()
{
    const absl::MutexLock lock{&this->mutex};
    const auto woken = [this]()
    {
        this->mutex.AssertHeld();
        return this->changed || this->stopping;
    };
    while (!this->stopping)
    {
        this->changed = false;
        const time_point now = this->time.now();
        while (!this->calls.empty() && this->calls.begin()->first.first <= now)
        {
            // Under the lock, so that a guard cannot end while its call is
            // being cut.
            this->calls.begin()->second();
            this->calls.erase(this->calls.begin());
        }
        const duration wait =
            this->calls.empty()
                ? longest_wait
                : std::min(
                      longest_wait, this->calls.begin()->first.first - now);
        this->mutex.AwaitWithTimeout(
            absl::Condition(&woken), absl::FromChrono(wait));
    }
}

} // namespace fireflysail
