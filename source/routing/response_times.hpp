#pragma once

#include "common/clock.hpp"

#include <array>
#include <cstddef>

namespace fireflysail
{

/// Numbers of response times by logarithmic bucket. Those of several instances
/// add up to those of the fleet.
struct response_time_counts
{
    static constexpr std::size_t bucket_count = 96;

    std::array<double, bucket_count> buckets{};

    void add(duration response, double weight);

    double total() const;

    /// First bucket up to which at least the part `q` of all lies.
    std::size_t quantile_bucket(double q) const;

    /// Upper bound of the `q` quantile.
    duration quantile(double q) const;

    /// Mean time by which the responses that took longer than `waited` took
    /// longer than it; zero if there are none.
    duration mean_rest(duration waited) const;

    /// Upper bound of the times in a bucket.
    static duration bound_of(std::size_t bucket);

    response_time_counts& operator+=(const response_time_counts& more);
};

/// Histogram of the response times of one plain service, as one instance sees
/// them. The weight of a sample halves after some hundred later ones.
class response_time_histogram
{
public:
    /// Fewer samples say nothing of a quantile near 1.
    static constexpr std::size_t min_samples = 50;

    void observe(duration response);

    /// The `q` quantile of the response times; zero until enough calls were
    /// observed.
    duration quantile(double q) const;

    std::size_t sample_count() const;

    /// The newest sample counts 1, and older ones less.
    response_time_counts counts() const;

private:
    response_time_counts weighted;
    double sample_weight = 1;
    std::size_t samples = 0;
};

} // namespace fireflysail
