#pragma once

#include "common/clock.hpp"
#include "routing/pipeline.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace fireflysail
{

/// Result of a use of an engine, considering only failures that the engine
/// caused.
enum class service_outcome
{
    served,
    failed,
};

/// Statistics of an engine, learned from the answers that passed through it.
struct learned_service
{
    /// Smoothed time of a decoding step per layer; zero while unknown.
    duration layer_time{};
    /// Smoothed fraction of uses that failed.
    double failure_rate = 0;
    std::uint32_t samples = 0;
    time_point last_sample{};
};

/// Step times and failures per engine, learned from answers. Lock-free and
/// thread-safe; one of several concurrent samples may be lost.
class service_times
{
public:
    explicit service_times(std::size_t capacity = max_engine_slots);

    /// `step_time` is the time of one token on this stage.
    void observe(
        const stage& part,
        duration step_time,
        service_outcome outcome,
        time_point now);

    /// Records a token that took `token_time` end to end. The time is
    /// attributed to the stages in proportion to their expected step times.
    void
    observe_token(const pipeline& used, duration token_time, time_point now);

    learned_service learned(const stage& part) const;

    /// Discards the samples of an engine, so that it is evaluated by new ones
    /// only.
    void forget(engine_slot slot);

private:
    struct entry
    {
        std::atomic<std::uint64_t> server_key{0};
        std::atomic<duration::rep> layer_time{0};
        /// In millionths.
        std::atomic<std::uint32_t> failure_rate{0};
        std::atomic<std::uint32_t> samples{0};
        std::atomic<duration::rep> last_sample{0};
    };

    entry& entry_of(const stage& part);

    std::vector<entry> entries;
};

} // namespace fireflysail
