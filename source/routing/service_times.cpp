#include "routing/service_times.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

/// Number of samples over which a mean is smoothed.
constexpr std::uint32_t smoothing = 16;

constexpr std::uint32_t failure_rate_scale = 1'000'000;

/// Arithmetic mean of the first samples, exponentially smoothed after that.
std::int64_t smooth(std::int64_t mean, std::int64_t sample, std::uint32_t count)
{
    const std::int64_t weight = std::min(count + 1, smoothing);
    return mean + (sample - mean) / weight;
}

} // namespace

service_times::service_times(std::size_t capacity)
    : entries(capacity)
{
}

service_times::entry& service_times::entry_of(const stage& part)
{
    entry& target = this->entries[part.slot.value()];
    std::uint64_t seen = target.server_key.load(std::memory_order_acquire);
    if (seen != part.server_key &&
        target.server_key.compare_exchange_strong(seen, part.server_key))
    {
        this->forget(part.slot);
    }
    return target;
}

void service_times::observe(
    const stage& part,
    duration step_time,
    service_outcome outcome,
    time_point now)
{
    entry& target = this->entry_of(part);
    const std::uint32_t count = target.samples.load(std::memory_order_relaxed);
    const bool failed = outcome == service_outcome::failed;
    const auto rate = smooth(
        target.failure_rate.load(std::memory_order_relaxed),
        failed ? failure_rate_scale : 0,
        count);
    target.failure_rate.store(
        static_cast<std::uint32_t>(rate), std::memory_order_relaxed);
    if (!failed && part.layers.size() > 0)
    {
        const auto mean = target.layer_time.load(std::memory_order_relaxed);
        const auto sample = (step_time / part.layers.size()).count();
        target.layer_time.store(
            mean == 0 ? sample : smooth(mean, sample, count),
            std::memory_order_relaxed);
    }
    target.last_sample.store(
        now.time_since_epoch().count(), std::memory_order_relaxed);
    target.samples.store(count + 1, std::memory_order_relaxed);
}

void service_times::observe_token(
    const pipeline& used, duration token_time, time_point now)
{
    duration links{};
    for (const stage& part : used.stages)
    {
        links += part.link_to_next;
    }
    const duration expected = used.step_time - links;
    if (expected <= duration::zero())
    {
        return;
    }
    const duration steps = std::max(token_time - links, duration{1});
    const double ratio = static_cast<double>(steps.count()) /
                         static_cast<double>(expected.count());
    for (const stage& part : used.stages)
    {
        const auto stage_time = static_cast<duration::rep>(
            static_cast<double>(part.step_time.count()) * ratio);
        this->observe(part, duration{stage_time}, service_outcome::served, now);
    }
}

learned_service service_times::learned(const stage& part) const
{
    const entry& target = this->entries[part.slot.value()];
    learned_service learned;
    if (target.server_key.load(std::memory_order_acquire) != part.server_key)
    {
        return learned;
    }
    learned.layer_time =
        duration{target.layer_time.load(std::memory_order_relaxed)};
    learned.failure_rate = static_cast<double>(target.failure_rate.load(
                               std::memory_order_relaxed)) /
                           failure_rate_scale;
    learned.samples = target.samples.load(std::memory_order_relaxed);
    learned.last_sample = time_point{
        duration{target.last_sample.load(std::memory_order_relaxed)}};
    return learned;
}

void service_times::forget(engine_slot slot)
{
    entry& target = this->entries[slot.value()];
    target.layer_time.store(0, std::memory_order_relaxed);
    target.failure_rate.store(0, std::memory_order_relaxed);
    target.samples.store(0, std::memory_order_relaxed);
    target.last_sample.store(0, std::memory_order_relaxed);
}

} // namespace fireflysail
