#pragma once

#include "common/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace fireflysail
{

/// What a call to the store is for, the most important first.
enum class call_priority
{
    /// Ends what a claim began: read back, record, release.
    resolve,
    /// Begins a request that may not be repeated.
    claim,
    /// Lists, watches, leases, and edits by operators.
    configuration,
    /// Status reports and clean-up, which may wait.
    status,
};

inline constexpr std::size_t call_priorities = 4;

enum class call_type
{
    read,
    write,
};

/// This instance's share of the store's rates, in calls a second.
struct call_rates
{
    double reads = 0;
    double writes = 0;
};

struct call_budget_counts
{
    std::array<std::uint64_t, call_priorities> granted{};
    std::array<std::uint64_t, call_priorities> refused{};
};

/// Token buckets for reads and writes, each holding one second's worth. The
/// lower the priority of a call, the more must be left over for those above
/// it. Safe to use from many threads.
class call_budget
{
public:
    call_budget(const call_rates& rates, time_point now);

    /// The share changes with the number of live instances.
    void set_rates(const call_rates& rates);

    /// Takes one call's worth, or nothing.
    bool take(call_type type, call_priority priority, time_point now);

    call_budget_counts counts() const;

private:
    struct bucket
    {
        double rate = 0;
        double tokens = 0;
    };

    void refill(time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    std::array<bucket, 2> buckets ABSL_GUARDED_BY(mutex);
    time_point refilled ABSL_GUARDED_BY(mutex);
    call_budget_counts counters ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
