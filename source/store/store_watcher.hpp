#pragma once

#include "store/backoff.hpp"
#include "store/store.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace fireflysail
{

struct store_watcher_options
{
    /// Time limit of one list. Until the first list is read, every second one
    /// has a longer limit, doubled each time up to the longest: a short one
    /// finds a silent connection soon, but a store that is slower than it would
    /// never be read.
    duration list_time{std::chrono::seconds{5}};
    duration longest_list_time{std::chrono::seconds{5}};
    /// How long one watch waits for a change. Bounds how long a connection
    /// that went silent can hide an edit.
    duration watch_time{std::chrono::seconds{2}};
    /// Least time between the starts of two watches: changes that come in
    /// quick succession are fetched together.
    duration watch_interval{std::chrono::seconds{1}};
    /// Instances that lost the same history list again within this time, each
    /// at a moment of its own.
    duration relist_spread{std::chrono::seconds{2}};
    /// Answers may be older than what was seen before; that is no failure.
    bool may_lag = false;
    /// A watch that failed is followed by a list: a store that lost its history
    /// may cut a watch and let the next one wait without the changes between.
    bool list_after_failure = false;
    backoff_options retry;
};

struct store_watcher_counts
{
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    std::uint64_t compactions = 0;
    /// Lists that were older than what is already known, and were not used.
    std::uint64_t stale_lists = 0;
    /// Answers that break the protocol or the order of revisions, and were not
    /// used.
    std::uint64_t malformed = 0;
};

/// Decides when to list and when to watch; sees to it that what it passes on
/// never goes back, misses nothing and repeats nothing. Pure: the caller
/// carries out `next` and reports what came of it.
class store_watcher
{
public:
    struct list_now
    {
        time_point deadline;
    };

    struct watch_now
    {
        revision from;
        time_point deadline;
    };

    struct wait_until
    {
        time_point when;
    };

    using command = std::variant<list_now, watch_now, wait_until>;

    store_watcher(const store_watcher_options& options, std::uint64_t seed);

    command next(time_point now);

    /// The snapshot to pass on, if it is to be used.
    std::optional<store_snapshot>
    on_listed(result<store_snapshot> got, time_point now);

    /// The events to pass on, in order and none twice. A batch without events
    /// is passed on too: it says how far the view is complete.
    std::optional<watch_batch>
    on_watched(result<watch_batch> got, time_point now);

    /// What was read last may have been passed on in part only: it is read
    /// anew with a list.
    void on_interrupted(time_point now);

    /// The view is complete up to this revision; zero before the first list.
    revision position() const;

    /// When the store last answered; none before its first answer.
    std::optional<time_point> last_answer() const;

    /// Since when no call succeeded; none while the last one did.
    std::optional<time_point> failing_since() const;

    const store_watcher_counts& counts() const;

private:
    void on_error(const std::error_code& error, time_point now);
    void on_failure(time_point now);
    void on_list_failure(time_point now);
    void on_answer(time_point now);

    store_watcher_options options;
    std::mt19937_64 random;
    backoff retry;
    revision reached;
    bool needs_list = true;
    duration list_limit;
    duration long_list_limit;
    time_point list_deadline{};
    time_point not_before{};
    std::optional<time_point> answered;
    std::optional<time_point> failing;
    store_watcher_counts counters;
};

} // namespace fireflysail
