#pragma once

#include "ledger/retention.hpp"
#include "store/store.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace fireflysail
{

struct claim_sweeper_options
{
    retention_options retention;
    duration call_time{std::chrono::seconds{2}};
    /// Removals in one step; what is left waits for the shard's next turn.
    std::size_t removals_per_step = 64;
};

struct claim_sweeper_counts
{
    std::uint64_t lists = 0;
    std::uint64_t removed = 0;
    std::uint64_t failures = 0;
};

/// Removes the ledger's entries past their retention, one shard at a time.
/// `source` should be budgeted at the lowest priority. Not safe to use from
/// several threads.
class claim_sweeper
{
public:
    /// Whether this instance cares for a shard; it does no harm if two do.
    using ownership = std::function<bool(std::size_t shard)>;

    claim_sweeper(
        const claim_sweeper_options& options,
        store& source,
        ownership owns,
        const clock& time);

    /// Brings the marks up to date and sweeps the next owned shard. To be
    /// called every few seconds.
    void step();

    const claim_sweeper_counts& counts() const;

private:
    void refresh_marks();
    void add_mark();
    void sweep(std::size_t shard);

    claim_sweeper_options options;
    store& source;
    ownership owns;
    const clock& time;
    retention_clock ages;
    std::size_t next_shard = 0;
    claim_sweeper_counts counters;
};

} // namespace fireflysail
