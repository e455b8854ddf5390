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

/// What is expected of an engine now.
struct engine_load
{
    /// Streams on it, running and waiting.
    double streams = 0;
    /// Streams that it runs at once.
    double slots = 0;
    /// Time of one decoding step of all layers that it holds, at the streams
    /// that it reported; zero while unknown.
    duration step_time{};
    duration prefill_time_per_token{};
    /// Streams that it had when it reported the times above.
    double reported_streams = 0;
    std::uint64_t free_kv = 0;
    /// Streams whose KV cache it holds at once; zero while unknown.
    double fitting_streams = 0;
    /// Part of its time that the engine is busy, by its streams against those
    /// of its siblings.
    double utilization = 0;
    /// Since the moment that the report tells of.
    duration age{};
    /// False until the engine reported.
    bool known = false;
};

/// Load of every engine: the last report, which is late, corrected by the
/// own work that began and ended since the moment that it tells of. Safe to
/// use from many threads without locks; a reader may see a report half
/// stored, which is no worse than a late one.
class load_tracker
{
public:
    explicit load_tracker(
        const clock& time, std::size_t capacity = max_engine_slots);

    /// Stores a report that tells of the moment `measured_at`. Older ones
    /// than the last are dropped.
    void report(
        engine_slot slot,
        std::uint64_t server_key,
        const load_report& load,
        time_point measured_at);

    /// Streams whose KV cache the engine holds at once, by its layers.
    void set_fitting_streams(engine_slot slot, std::uint32_t streams);

    /// Compares the engines of a set with one another; called by the controller
    /// that stores the reports, after it has done so.
    void update_utilization(const route_set& set);

    /// One stream more on every stage.
    void begin(const pipeline& used);

    /// The stream that `begin` counted has ended.
    void end(const pipeline& used);

    /// Own streams on the engine now.
    std::int32_t own_streams(engine_slot slot) const;

    engine_load load(const stage& part) const;

private:
    static constexpr std::size_t buckets = 16;

    /// Own streams begun less those ended, in one span of time.
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
        std::atomic<duration::rep> prefill_time{0};
        std::atomic<duration::rep> measured_at{0};
        /// Utilization for each stream.
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
