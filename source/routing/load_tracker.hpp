#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "routing/route_table.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace fireflysail
{

/// Age of a load that was never measured.
inline constexpr duration never_measured = duration::max();

/// Estimated current load of an engine.
struct engine_load
{
    /// Streams on the engine, running or waiting.
    double streams = 0;
    /// Streams that the engine runs concurrently.
    double slots = 0;
    /// Time of one decoding step over all layers of the engine, at the number
    /// of streams that it reported; zero while unknown.
    duration step_time{};
    /// Time that each stream adds to a step; zero where `step_time` contains
    /// the load.
    duration step_time_per_stream{};
    duration prefill_time_per_token{};
    /// Streams of the engine when it reported the times above.
    double reported_streams = 0;
    std::uint64_t free_kv = 0;
    /// Number of streams whose KV cache fits on the engine; zero while unknown.
    double fitting_streams = 0;
    /// Fraction of time that the engine is busy, estimated from its number of
    /// streams relative to the other engines of its set.
    double utilization = 0;
    /// Time since the load was measured.
    duration age = never_measured;
    /// False until the engine has reported.
    bool known = false;
};

/// Load of every engine: the last report, which arrives late, corrected by the
/// streams of this instance that began and ended since it was measured.
/// Lock-free and thread-safe. A reader may see a partially stored report, which
/// is no worse than a late one.
class load_tracker
{
public:
    explicit load_tracker(
        const clock& time, std::size_t capacity = max_engine_slots);

    /// Stores a report measured at `measured_at`. Reports older than the last
    /// one are dropped.
    void report(
        engine_slot slot,
        std::uint64_t server_key,
        const load_report& load,
        time_point measured_at);

    /// Sets the number of streams whose KV cache fits on the engine, given its
    /// layers.
    void set_fitting_streams(engine_slot slot, std::uint32_t streams);

    /// Updates the utilization per stream of the engines of a set relative to
    /// one another. Called by the controller after it has stored the reports.
    void update_utilization(const route_set& set);

    /// Counts one more stream on every stage.
    void begin(const pipeline& used);

    /// The stream that `begin` counted has ended.
    void end(const pipeline& used);

    /// Streams of this instance that are now on the engine.
    std::int32_t own_streams(engine_slot slot) const;

    engine_load load(const stage& part) const;

private:
    static constexpr std::size_t buckets = 16;

    /// Streams of this instance that began minus those that ended in one bucket
    /// of time, packed with the bucket's number.
    using net_change = std::atomic<std::uint64_t>;

    struct entry
    {
        std::atomic<std::uint64_t> server_key{0};
        std::atomic<std::uint32_t> running{0};
        std::atomic<std::uint32_t> waiting{0};
        std::atomic<std::uint32_t> slots{0};
        std::atomic<std::uint64_t> free_kv{0};
        std::atomic<std::uint32_t> fitting_streams{0};
        std::atomic<duration::rep> step_time{0};
        std::atomic<duration::rep> step_time_per_stream{0};
        std::atomic<duration::rep> prefill_time{0};
        std::atomic<duration::rep> measured_at{0};
        /// Utilization caused by each stream.
        std::atomic<double> utilization_per_stream{0};
        std::atomic<std::int32_t> own{0};
        std::array<net_change, buckets> changes{};
    };

    engine_load load_of(engine_slot slot, std::uint64_t server_key) const;
    void count(const pipeline& used, std::int32_t change);
    std::uint32_t bucket_number(time_point when) const;
    static std::int32_t change_since(const entry& target, std::uint32_t bucket);

    const clock& time;
    std::vector<entry> entries;
};

} // namespace fireflysail
