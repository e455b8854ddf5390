#pragma once

#include "common/clock.hpp"
#include "common/wake_signal.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <thread>
#include <utility>

namespace fireflysail
{

/// Cuts off calls that run past their deadline, whatever they wait for. One
/// thread serves all calls of its owner.
class call_watchdog
{
public:
    explicit call_watchdog(const clock& time);
    ~call_watchdog();

    call_watchdog(const call_watchdog&) = delete;
    call_watchdog& operator=(const call_watchdog&) = delete;

    /// Runs `cut` on the watchdog's thread at the deadline, unless this guard
    /// is gone by then. The guard's end waits for a `cut` that is running.
    class guard
    {
    public:
        guard(
            call_watchdog& owner,
            time_point deadline,
            std::function<void()> cut);
        ~guard();

        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;

    private:
        call_watchdog& owner;
        const std::pair<time_point, std::uint64_t> place;
    };

private:
    using place = std::pair<time_point, std::uint64_t>;

    place add(time_point deadline, std::function<void()> cut);
    void remove(const place& where);
    void run();

    /// Cuts off the calls that are due, and returns the time until the next;
    /// nothing once the watchdog stops.
    std::optional<duration> cut_due();

    const clock& time;
    absl::Mutex mutex;
    std::map<place, std::function<void()>> calls ABSL_GUARDED_BY(mutex);
    std::uint64_t next_number ABSL_GUARDED_BY(mutex) = 0;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    wake_signal changed;
    std::thread thread;
};

} // namespace fireflysail
