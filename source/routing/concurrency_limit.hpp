#pragma once

#include "common/clock.hpp"

#include <array>
#include <cstddef>

namespace fireflysail
{

/// Adaptive concurrency limit of one backend server: the number of requests
/// that it handles before further ones only queue there. A request counts as
/// delayed if its first byte or token took several times the baseline. The
/// limit converges to the point where about a fifth of the requests are
/// delayed.
class concurrency_limit
{
public:
    struct options
    {
        double initial = 4;
        double minimum = 1;
        double maximum = 1024;
        /// Ratio of response time to baseline above which a request counts as
        /// delayed.
        double tolerance = 3;
    };

    struct sample
    {
        /// Time from dispatch to the first byte or token.
        duration observed{};
        /// Expected value of `observed`, given the prefills that this instance
        /// has sent to the server. Any constant for plain services.
        duration expected = std::chrono::milliseconds{1};
        /// Requests in flight at the backend server when this one was
        /// dispatched.
        std::size_t in_flight = 0;
    };

    explicit concurrency_limit(const options& chosen);

    void on_sample(const sample& seen);

    /// Reports that the backend server refused a request for lack of capacity,
    /// or timed out.
    void on_overload(time_point now);

    /// Reports the number of slots that the backend server advertises. The
    /// first report sets the limit. Every report sets its ceiling, as requests
    /// above it would only queue at the server.
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
    /// Ratio of observed to expected response time without queueing; 0 until
    /// known.
    double baseline = 0;
    /// The limit when requests were last seen without delay in the median.
    double undelayed_limit = 0;
    double ceiling;
    bool has_report = false;
    time_point last_overload{};
    duration last_observed{};
};

} // namespace fireflysail
