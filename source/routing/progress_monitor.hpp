#pragma once

#include "common/clock.hpp"

#include <cstddef>

namespace fireflysail
{

/// Detects a stream whose connection went silent. The time without progress is
/// limited to a multiple of the expected step time, which is learned from the
/// stream. One monitor for each attempt.
class progress_monitor
{
public:
    struct options
    {
        /// Multiples of the expected step time and of the expected prefill
        /// time.
        double step_factor = 4;
        double prefill_factor = 2.5;
        /// Added to each timeout for network and scheduling jitter.
        duration margin = std::chrono::milliseconds{40};
        /// Maximum timeout, regardless of the expected step time.
        duration max_timeout = std::chrono::seconds{30};
    };

    /// `expected_first` is the time to the first token of this attempt,
    /// including queueing at the backend server; `expected_step` is the time
    /// between tokens. Each previous attempt without progress, counted by
    /// `attempts_without_progress`, doubles the timeout of the first token, as
    /// the expectation rather than the connections may be wrong.
    progress_monitor(
        const options& chosen,
        duration expected_first,
        duration expected_step,
        time_point now,
        int attempts_without_progress = 0);

    /// Called for each token or other event that only a live engine sends.
    void on_progress(time_point now);

    /// Time at which the connection counts as silent.
    time_point silent_at() const;

    bool is_silent(time_point now) const;

    /// Time of the latest event, or the start of the attempt.
    time_point last_progress_at() const;

    /// Smoothed time between tokens.
    duration step() const;

private:
    options chosen;
    duration expected_first{};
    int doublings = 0;
    double mean_step = 0;
    double deviation = 0;
    bool has_progress = false;
    time_point last_progress{};
};

/// Progress of all streams of an instance through one backend server.
struct server_progress
{
    /// Time of the latest token of any stream through it.
    time_point last_token;
    /// Number of streams through it, including the silent one.
    std::size_t streams = 0;
};

/// Distinguishes a backend server that hangs from a lost connection. True when
/// at least 3 streams run through the server and none of them received a token
/// later than one step after the silent one stopped at `silent_since`.
bool has_stalled(
    const server_progress& server, time_point silent_since, duration step);

} // namespace fireflysail
