#include "routing/response_times.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <numeric>

namespace fireflysail
{

namespace
{

constexpr double buckets_per_octave = 4;
constexpr double first_bucket_seconds = 1e-4;
constexpr double weight_growth = 1.002;
constexpr double rescale_at = 1e12;
constexpr double bucket_middle = 0.5;

std::size_t bucket_of(duration response)
{
    const double ratio = to_seconds(response) / first_bucket_seconds;
    const double position =
        std::log2(std::max(ratio, 1.0)) * buckets_per_octave;
    return std::min(
        static_cast<std::size_t>(position),
        response_time_counts::bucket_count - 1);
}

double seconds_at(double position)
{
    return first_bucket_seconds * std::exp2(position / buckets_per_octave);
}

} // namespace

void response_time_counts::add(duration response, double weight)
{
    this->buckets[bucket_of(response)] += weight;
}

double response_time_counts::total() const
{
    return std::accumulate(this->buckets.begin(), this->buckets.end(), 0.0);
}

std::size_t response_time_counts::quantile_bucket(double q) const
{
    const double wanted = q * this->total();
    double seen = 0;
    std::size_t index = 0;
    while (index + 1 < bucket_count && seen + this->buckets[index] < wanted)
    {
        seen += this->buckets[index];
        ++index;
    }
    return index;
}

duration response_time_counts::quantile(double q) const
{
    return bound_of(this->quantile_bucket(q));
}

duration response_time_counts::mean_rest(duration waited) const
{
    const double passed = to_seconds(waited);
    double count = 0;
    double rest = 0;
    for (std::size_t i = bucket_of(waited); i < bucket_count; ++i)
    {
        const double middle =
            seconds_at(static_cast<double>(i) + bucket_middle);
        if (middle > passed)
        {
            count += this->buckets[i];
            rest += this->buckets[i] * (middle - passed);
        }
    }
    return count > 0 ? from_seconds(rest / count) : duration::zero();
}

duration response_time_counts::bound_of(std::size_t bucket)
{
    return from_seconds(seconds_at(static_cast<double>(bucket + 1)));
}

response_time_counts&
response_time_counts::operator+=(const response_time_counts& more)
{
    std::ranges::transform(
        this->buckets, more.buckets, this->buckets.begin(), std::plus{});
    return *this;
}

/// Increases the weight of new samples, which avoids scaling down all buckets
/// on each call.
void response_time_histogram::observe(duration response)
{
    this->weighted.add(response, this->sample_weight);
    this->sample_weight *= weight_growth;
    ++this->samples;
    if (this->sample_weight > rescale_at)
    {
        this->weighted = this->counts();
        this->sample_weight = 1;
    }
}

duration response_time_histogram::quantile(double q) const
{
    return this->samples < min_samples ? duration::zero()
                                       : this->weighted.quantile(q);
}

std::size_t response_time_histogram::sample_count() const
{
    return this->samples;
}

response_time_counts response_time_histogram::counts() const
{
    response_time_counts scaled;
    std::ranges::transform(
        this->weighted.buckets,
        scaled.buckets.begin(),
        [newest = this->sample_weight / weight_growth](double weight)
        {
            return weight / newest;
        });
    return scaled;
}

} // namespace fireflysail
