#pragma once

#include "common/clock.hpp"

#include <random>

namespace fireflysail
{

/// Spreads resumes after many streams were lost at once: a small burst goes at
/// once, the rest at the rate at which the remaining backend servers can
/// prefill, with jitter against other instances that do the same.
class resume_pacer
{
public:
    struct options
    {
        /// Resumes that go at once after a quiet spell.
        double burst = 16;
        /// Used until set_rate() is called.
        double per_second = 50;
        /// Each wait is spread by up to this part of itself, either way.
        double jitter = 0.25;
    };

    explicit resume_pacer(const options& chosen);

    /// Resumes per second that this instance's part of the backend servers
    /// can take.
    void set_rate(double per_second);

    /// Reserves the next turn; returns when it is, `now` at the earliest.
    time_point reserve(time_point now, std::mt19937_64& random);

private:
    options chosen;
    /// When the resumes reserved so far are done at the paced rate.
    time_point theoretical_arrival{};
};

} // namespace fireflysail
