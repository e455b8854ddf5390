#pragma once

#include "common/clock.hpp"

#include <condition_variable>
#include <mutex>

namespace fireflysail
{

/// Wakes one waiting thread, at the latest after a time. Waits by the monotonic
/// clock: the timed waits of absl::Mutex and absl::CondVar end by the time of
/// day, and one that is set back holds them up.
class wake_signal
{
public:
    wake_signal() = default;

    wake_signal(const wake_signal&) = delete;
    wake_signal& operator=(const wake_signal&) = delete;

    /// Any thread.
    void set();

    /// Waits until it is set, for `longest` or an hour. Takes the signal back;
    /// true if it was set.
    bool wait_for(duration longest);

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool is_set = false;
};

} // namespace fireflysail
