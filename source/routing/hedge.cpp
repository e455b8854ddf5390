#include "routing/hedge.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace fireflysail
{

namespace
{

using float_seconds = std::chrono::duration<double>;

constexpr double buckets_per_octave = 4;
constexpr double first_bucket_seconds = 1e-4;
constexpr std::size_t min_samples = 50;
constexpr double weight_growth = 1.002;
constexpr double rescale_at = 1e12;
constexpr double median = 0.5;
constexpr double tail = 0.99;

std::size_t bucket_of(duration response, std::size_t count)
{
    const double ratio = float_seconds{response}.count() / first_bucket_seconds;
    const double position =
        std::log2(std::max(ratio, 1.0)) * buckets_per_octave;
    return std::min(static_cast<std::size_t>(position), count - 1);
}

} // namespace

/// Increases the weight of new samples, which avoids scaling down all buckets
/// on each call.
void response_time_histogram::observe(duration response)
{
    this->buckets[bucket_of(response, bucket_count)] += this->sample_weight;
    this->total += this->sample_weight;
    this->sample_weight *= weight_growth;
    ++this->samples;
    if (this->sample_weight > rescale_at)
    {
        for (double& bucket : this->buckets)
        {
            bucket /= this->sample_weight;
        }
        this->total /= this->sample_weight;
        this->sample_weight = 1;
    }
}

duration response_time_histogram::quantile(double q) const
{
    if (this->samples < min_samples)
    {
        return duration::zero();
    }
    double seen = 0;
    std::size_t index = 0;
    while (index + 1 < bucket_count &&
           seen + this->buckets[index] < q * this->total)
    {
        seen += this->buckets[index];
        ++index;
    }
    const double upper = static_cast<double>(index + 1) / buckets_per_octave;
    return std::chrono::duration_cast<duration>(
        float_seconds{first_bucket_seconds * std::exp2(upper)});
}

hedge_policy::hedge_policy(const options& chosen)
    : chosen{chosen}
{
}

void hedge_policy::on_response(duration response)
{
    this->response_times.observe(response);
}

std::optional<duration> hedge_policy::delay(work_kind work) const
{
    if (work != work_kind::idempotent)
    {
        return std::nullopt;
    }
    const duration typical = this->response_times.quantile(median);
    const duration slowest = this->response_times.quantile(tail);
    if (typical == duration::zero() ||
        slowest < typical * this->chosen.min_tail_ratio)
    {
        return std::nullopt;
    }
    return this->response_times.quantile(this->chosen.quantile);
}

bool hedge_policy::try_hedge(
    work_kind work, retry_budget& budget, time_point now) const
{
    return this->delay(work).has_value() && budget.try_take(now);
}

} // namespace fireflysail
