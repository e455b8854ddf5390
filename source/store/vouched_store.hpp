#pragma once

#include "store/store.hpp"
#include "store/view_freshness.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <optional>

namespace fireflysail
{

/// A store whose watches are carried out as the freshness of the view asks:
/// they may read the copy while peers confirm that. All other calls go to the
/// store itself. Serves one watch at a time.
///
/// Every change wakes the watches of all instances, and each wake-up is a call
/// to the store: with hundreds of instances these calls dominate its load.
class vouched_store final : public store
{
public:
    vouched_store(
        store& current,
        store& copy,
        view_freshness& freshness,
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

    /// Ends the watch in progress if it is of no use any more, and returns why;
    /// the watch fails as unavailable. Any thread.
    std::optional<watch_defect> interrupt_if_defective();

    /// When the read began to which the store itself gave the last answer; none
    /// if the copy gave it. For the thread that watches and its consumers.
    std::optional<time_point> store_read_at() const;

private:
    store& current;
    store& copy;
    view_freshness& freshness;
    const clock& time;
    std::optional<time_point> read_at;
    absl::Mutex mutex;
    /// The watch in progress.
    std::optional<running_watch> running ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
