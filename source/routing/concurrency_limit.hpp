#pragma once

#include "common/clock.hpp"

#include <array>
#include <cstddef>

namespace fireflysail
{

/// Learns how many requests one backend server takes before further ones only
/// wait there. A request counts as delayed when its first byte or token took
/// several times the baseline; the limit settles where about a fifth of them
/// is.
class concurrency_limit
{
public:
    struct options
    {
        double initial = 4;
        double minimum = 1;
        double maximum = 1024;
        /// Response time, over the baseline one, from which a request counts as
        /// delayed.
        double tolerance = 3;
    };

    struct sample
    {
        /// Time from dispatch to the first byte or token.
        duration observed{};
        /// What that time should have been, given the prefills that this
        /// instance has sent there; any fixed value for plain services.
        duration expected = std::chrono::milliseconds{1};
        /// Requests at the backend server when this one was dispatched.
        std::size_t in_flight = 0;
    };

    explicit concurrency_limit(const options& chosen);

    void on_sample(const sample& seen);

    /// The backend server refused for lack of room, or timed out.
    void on_overload(time_point now);

    /// What the backend server itself reports as its slots: the limit to start
    /// from, and a ceiling, as more would only wait there.
    void on_report(std::size_t slots);

    std::size_t limit() const;

private:
    static constexpr std::size_t window_samples = 64;

    void update_baseline(double ratio);

    options chosen;
    double current;
    bool slow_start = true;
    std::array<double, window_samples> window{};
    std::size_t in_window = 0;
    /// Response time over the expected one without delay; 0 until known.
    double baseline = 0;
    /// The limit when most requests were last seen without delay.
    double undelayed_limit = 0;
    double ceiling;
    bool has_report = false;
    time_point last_overload{};
    duration last_observed{};
};

} // namespace fireflysail
