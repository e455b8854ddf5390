#pragma once

#include "common/clock.hpp"

#include <random>

namespace fireflysail
{

/// Paces resumes after many streams were lost at once. A small burst is allowed
/// immediately; the rest follows at the rate at which the remaining backend
/// servers can prefill, with jitter so that instances do not resume in step.
class resume_pacer
{
public:
    struct options
    {
        /// Number of resumes allowed at once after an idle period.
        double burst = 16;
        /// Rate until set_rate() is called.
        double per_second = 50;
        /// Each wait is varied randomly by up to this fraction in either
        /// direction.
        double jitter = 0.25;
    };

    explicit resume_pacer(const options& chosen);

    /// Sets the resumes per second that this instance's share of the backend
    /// servers can take.
    void set_rate(double per_second);

    /// Reserves the next resume and returns its time, `now` at the earliest.
    time_point reserve(time_point now, std::mt19937_64& random);

private:
    options chosen;
    /// Time at which the resumes reserved so far are done at the paced rate
    /// (the theoretical arrival time of the generic cell rate algorithm).
    time_point theoretical_arrival{};
};

} // namespace fireflysail
