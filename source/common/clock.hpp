#pragma once

#include <atomic>
#include <chrono>

namespace fireflysail
{

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using wall_time = std::chrono::system_clock::time_point;

inline double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

inline duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

/// Source of time, passed to everything that needs one.
class clock
{
public:
    virtual ~clock() = default;

    /// Monotonic time, for deadlines and intervals.
    virtual time_point now() const = 0;

    /// Calendar time, for records that people read. Never used in a decision.
    virtual wall_time wall_now() const = 0;
};

/// The machine's clock.
class system_clock final : public clock
{
public:
    time_point now() const override;
    wall_time wall_now() const override;
};

/// Like system_clock, but its monotonic time also counts the time that the
/// machine was suspended. For leases and ages, which go on meanwhile.
class boot_clock final : public clock
{
public:
    time_point now() const override;
    wall_time wall_now() const override;
};

/// A clock that moves only when told to; safe to read from many threads.
class manual_clock final : public clock
{
public:
    time_point now() const override;
    wall_time wall_now() const override;

    void advance(duration step);

    /// Moves to `when`; a moment in the past leaves the clock as it is.
    void advance_to(time_point when);

private:
    std::atomic<duration::rep> elapsed{0};
};

} // namespace fireflysail
