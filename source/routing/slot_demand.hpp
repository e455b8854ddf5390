#pragma once

#include "common/clock.hpp"

#include <cstddef>

namespace fireflysail
{

/// Learns the threshold for long work: a multiple of the geometric mean of the
/// expected service, which is insensitive to a few very long requests.
class long_work_threshold
{
public:
    /// Records the expected service of one request.
    void observe(duration expected);

    /// Whether `expected` is at least value().
    bool is_long(duration expected) const;

    /// Expected service from which work counts as long; duration::max() until
    /// known.
    duration value() const;

    /// Typical expected service; zero until known.
    duration typical() const;

private:
    double mean_log = 0;
    std::size_t samples = 0;
};

/// Learns how many slots short work needs: those in use or waited for now, with
/// headroom for random arrivals derived from the average over the last few
/// seconds.
class slot_demand
{
public:
    /// Sets the number of short entries that run or wait from `now` on.
    void observe(std::size_t short_work, time_point now);

    /// Number of slots to reserve for short work.
    std::size_t slots() const;

private:
    double average = 0;
    std::size_t current = 0;
    time_point since{};
};

/// Measures the rate of arriving work in slots: seconds of expected service per
/// second, over about the last second.
class work_rate
{
public:
    void observe(duration expected, time_point now);

    double value(time_point now) const;

private:
    double average = 0;
    time_point since{};
};

/// Learns the ratio of the time that work holds a slot to its expected service.
class service_slowdown
{
public:
    void observe(duration expected, duration actual);

    /// Mean ratio of actual to expected service; 1 until known.
    double value() const;

private:
    double ratio = 1;
};

} // namespace fireflysail
