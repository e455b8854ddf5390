#include "routing/load_tracker.hpp"

#include "common/invariant.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Together with the number of buckets, determines how long the changes in the
/// number of own streams are kept.
constexpr duration bucket_span = 250ms;

double as_double(duration time)
{
    return static_cast<double>(time.count());
}

constexpr std::uint64_t pack(std::uint32_t bucket, std::int32_t net)
{
    return (std::uint64_t{bucket} << 32) | static_cast<std::uint32_t>(net);
}

constexpr std::uint32_t bucket_of(std::uint64_t packed)
{
    return static_cast<std::uint32_t>(packed >> 32);
}

constexpr std::int32_t net_of(std::uint64_t packed)
{
    return static_cast<std::int32_t>(static_cast<std::uint32_t>(packed));
}

} // namespace

load_tracker::load_tracker(const clock& time, std::size_t capacity)
    : time{time}
    , entries(capacity)
{
}

void load_tracker::report(
    engine_slot slot,
    std::uint64_t server_key,
    const load_report& load,
    time_point measured_at)
{
    ensure(
        slot.value() < this->entries.size(),
        "an engine slot must be within the capacity");
    entry& target = this->entries[slot.value()];
    const duration::rep when = measured_at.time_since_epoch().count();
    const bool same_server =
        target.server_key.load(std::memory_order_acquire) == server_key;
    if (same_server &&
        target.measured_at.load(std::memory_order_relaxed) > when)
    {
        return;
    }
    target.running.store(load.running, std::memory_order_relaxed);
    target.waiting.store(load.waiting, std::memory_order_relaxed);
    target.slots.store(load.slots, std::memory_order_relaxed);
    target.free_kv.store(load.free_kv.value(), std::memory_order_relaxed);
    target.step_time.store(load.step_time.count(), std::memory_order_relaxed);
    target.step_time_per_stream.store(
        load.step_time_per_stream.count(), std::memory_order_relaxed);
    target.prefill_time.store(
        load.prefill_time_per_token.count(), std::memory_order_relaxed);
    target.measured_at.store(when, std::memory_order_relaxed);
    target.server_key.store(server_key, std::memory_order_release);
}

void load_tracker::set_fitting_streams(engine_slot slot, std::uint32_t streams)
{
    ensure(
        slot.value() < this->entries.size(),
        "an engine slot must be within the capacity");
    this->entries[slot.value()].fitting_streams.store(
        streams, std::memory_order_relaxed);
}

void load_tracker::update_utilization(const route_set& set)
{
    double drain_sum = 0;
    double inflation_sum = 0;
    double count = 0;
    for (std::size_t e = 0; e < set.graph.engines.size(); ++e)
    {
        const graph_engine& holder = set.graph.engines[e];
        const engine_load load = this->load_of(holder.slot, holder.server_key);
        const duration idle_step = holder.layer_time * holder.layers.size();
        if (!load.known || idle_step <= duration::zero())
        {
            continue;
        }
        drain_sum += load.streams * as_double(set.step_per_stream[e]);
        inflation_sum +=
            std::max(1.0, as_double(load.step_time) / as_double(idle_step));
        ++count;
    }
    const double mean_drain = drain_sum / std::max(1.0, count);
    const double mean_utilization = 1 - std::max(1.0, count) / inflation_sum;
    const double utilization_per_drain =
        mean_drain > 0 && inflation_sum > 0 ? mean_utilization / mean_drain : 0;
    for (std::size_t e = 0; e < set.graph.engines.size(); ++e)
    {
        this->entries[set.graph.engines[e].slot.value()]
            .utilization_per_stream.store(
                utilization_per_drain * as_double(set.step_per_stream[e]),
                std::memory_order_relaxed);
    }
}

void load_tracker::begin(const pipeline& used)
{
    this->count(used, 1);
}

void load_tracker::end(const pipeline& used)
{
    this->count(used, -1);
}

void load_tracker::count(const pipeline& used, std::int32_t change)
{
    const std::uint32_t bucket = this->bucket_number(this->time.now());
    for (const stage& part : used.stages)
    {
        entry& target = this->entries[part.slot.value()];
        target.own.fetch_add(change, std::memory_order_relaxed);
        net_change& cell = target.changes[bucket % buckets];
        std::uint64_t seen = cell.load(std::memory_order_relaxed);
        std::uint64_t next = 0;
        do
        {
            const std::int32_t base =
                bucket_of(seen) == bucket ? net_of(seen) : 0;
            next = pack(bucket, base + change);
        } while (
            !cell.compare_exchange_weak(seen, next, std::memory_order_relaxed));
    }
}

std::uint32_t load_tracker::bucket_number(time_point when) const
{
    return static_cast<std::uint32_t>(when.time_since_epoch() / bucket_span);
}

std::int32_t
load_tracker::change_since(const entry& target, std::uint32_t bucket)
{
    std::int32_t sum = 0;
    for (const net_change& cell : target.changes)
    {
        const std::uint64_t packed = cell.load(std::memory_order_relaxed);
        sum += bucket_of(packed) > bucket ? net_of(packed) : 0;
    }
    return sum;
}

std::int32_t load_tracker::own_streams(engine_slot slot) const
{
    return this->entries[slot.value()].own.load(std::memory_order_relaxed);
}

engine_load load_tracker::load(const stage& part) const
{
    return this->load_of(part.slot, part.server_key);
}

engine_load
load_tracker::load_of(engine_slot slot, std::uint64_t server_key) const
{
    const entry& target = this->entries[slot.value()];
    const double own = std::max(0, target.own.load(std::memory_order_relaxed));
    engine_load load;
    load.fitting_streams =
        target.fitting_streams.load(std::memory_order_relaxed);
    if (target.server_key.load(std::memory_order_acquire) != server_key)
    {
        load.streams = own;
        return load;
    }
    const time_point measured_at{
        duration{target.measured_at.load(std::memory_order_relaxed)}};
    load.reported_streams = target.running.load(std::memory_order_relaxed) +
                            target.waiting.load(std::memory_order_relaxed);
    const bool was_measured = measured_at != time_point::min();
    const std::int32_t since = change_since(
        target, was_measured ? this->bucket_number(measured_at) : 0);
    // The engine has at least the streams of this instance, however late its
    // report is.
    load.streams = std::max(own, load.reported_streams + since);
    load.slots = target.slots.load(std::memory_order_relaxed);
    load.step_time = duration{target.step_time.load(std::memory_order_relaxed)};
    load.step_time_per_stream =
        duration{target.step_time_per_stream.load(std::memory_order_relaxed)};
    load.prefill_time_per_token =
        duration{target.prefill_time.load(std::memory_order_relaxed)};
    load.free_kv = target.free_kv.load(std::memory_order_relaxed);
    load.utilization = load.streams * target.utilization_per_stream.load(
                                          std::memory_order_relaxed);
    if (was_measured)
    {
        load.age = std::max(duration::zero(), this->time.now() - measured_at);
    }
    load.known = true;
    return load;
}

} // namespace fireflysail
