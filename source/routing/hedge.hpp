#pragma once

#include "common/clock.hpp"
#include "routing/idle_connection_policy.hpp"
#include "routing/retry_budget.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace fireflysail
{

/// Histogram of the response times of one plain service, with logarithmic
/// buckets. The weight of a sample halves after some hundred later ones.
class response_time_histogram
{
public:
    void observe(duration response);

    /// The `q` quantile of the response times; zero until enough calls were
    /// observed.
    duration quantile(double q) const;

private:
    static constexpr std::size_t bucket_count = 96;

    std::array<double, bucket_count> buckets{};
    double total = 0;
    double sample_weight = 1;
    std::size_t samples = 0;
};

/// Decides when a second copy of an idempotent call is sent to another server
/// because the first has not been answered.
class hedge_policy
{
public:
    struct options
    {
        /// Quantile of the response times after which a call is hedged.
        double quantile = 0.95;
        /// Minimum ratio of the 99th percentile to the median for hedging.
        /// Below it, the second copy would hardly be answered sooner.
        double min_tail_ratio = 3;
    };

    explicit hedge_policy(const options& chosen);

    void on_response(duration response);

    /// Time after dispatch at which a second copy is due; nothing if hedging is
    /// not allowed or not worthwhile.
    std::optional<duration> delay(work_kind work) const;

    /// Called when the delay has passed: takes the second copy from the retry
    /// budget. Returns false if it may not be sent.
    bool try_hedge(work_kind work, retry_budget& budget, time_point now) const;

private:
    options chosen;
    response_time_histogram response_times;
};

} // namespace fireflysail
