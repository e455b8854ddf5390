#pragma once

#include "store/store.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <memory>
#include <optional>
#include <variant>

namespace fireflysail
{

struct vouching_options
{
    /// A report of a peer that is older than this vouches for nothing.
    duration report_lifetime = std::chrono::milliseconds{1600};
    /// Time in which a watch of the copy must tell of a change that a peer has
    /// read.
    duration patience = std::chrono::milliseconds{600};
    /// Time in which a change that a peer has read must have arrived here, over
    /// any number of watches. Longer than the interval between two watches.
    duration max_lag = std::chrono::milliseconds{1300};
    /// The copy is not used for this long after it was found to be stale.
    duration distrust = std::chrono::seconds{5};
};

/// Decides whether watches of one kind may read the cheap copy of the store,
/// which may be old. They may while a peer that reads the store itself vouches
/// for them: it reports regularly up to which change it has read, and that
/// change has arrived here too, or was reported just now. Thread-safe.
class copy_vouching
{
public:
    copy_vouching(const clock& time, const vouching_options& options);

    /// A peer has read all changes of the kind up to this one.
    void on_report(revision newest_change);

    /// Whether a watch from `position` may begin to read the copy.
    bool may_use_copy(revision position);

    /// Whether the watch of the copy that began at `since` may go on.
    bool may_continue(revision position, time_point since);

private:
    /// What a peer has read, and when this instance was told.
    struct reported_change
    {
        revision newest;
        time_point since;
    };

    bool is_vouched(time_point now) const ABSL_SHARED_LOCKS_REQUIRED(mutex);
    /// The first reported change that is not seen at `position`.
    const reported_change* first_unseen(revision position)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const clock& time;
    const vouching_options options;
    absl::Mutex mutex;
    std::optional<time_point> reported_at ABSL_GUARDED_BY(mutex);
    /// In order, from the first that a watch has not reached. A copy lags by
    /// the age of that one, however many newer changes there are.
    std::deque<reported_change> reported ABSL_GUARDED_BY(mutex);
    time_point distrusted_until ABSL_GUARDED_BY(mutex);
};

/// A store whose watches read the copy while that is vouched for. All other
/// calls go to the store itself. Serves one watch at a time.
///
/// Every change wakes the watches of all instances, and each wake-up is a call
/// to the store: with hundreds of instances these calls dominate its load.
class vouched_store final : public store
{
public:
    vouched_store(
        store& current,
        store& copy,
        copy_vouching& vouching,
        const clock& time);

    result<stored_object>
    get(const object_key& key, time_point deadline) override;
    result<store_snapshot>
    list(const std::vector<std::string>& kinds, time_point deadline) override;
    result<revision> create(
        const object_key& key,
        const std::string& value,
        time_point deadline) override;
    result<revision> update(
        const object_key& key,
        const std::string& value,
        revision expected,
        time_point deadline) override;
    result<revision> remove(
        const object_key& key, revision expected, time_point deadline) override;
    result<watch_batch> watch(
        const std::vector<std::string>& kinds,
        revision from,
        time_point deadline) override;
    void interrupt_watches() override;

    /// Ends a watch of the copy that nothing vouches for any more; it fails as
    /// unavailable. Any thread.
    void interrupt_if_stale();

private:
    store& current;
    store& copy;
    copy_vouching& vouching;
    const clock& time;
    struct copy_watch
    {
        revision from;
        time_point since;
    };
    absl::Mutex mutex;
    /// The watch of the copy in progress.
    std::optional<copy_watch> watched ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
