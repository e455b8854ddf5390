#pragma once

#include "blackboard/lists.hpp"
#include "common/rcu_cell.hpp"
#include "common/result.hpp"
#include "control/lists_transfer.hpp"
#include "control/stream_position.hpp"
#include "store/watch_hub.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// What `status` shows of the lists that an instance runs.
struct lists_status
{
    /// Everything up to this revision of the store is in force.
    revision applied;
    /// Equal on two instances that run the same lists.
    std::uint64_t digest = 0;
    std::size_t plans = 0;
    std::size_t entitlements = 0;
    /// Workspaces whose plan has no entitlement; they are refused service.
    std::size_t workspaces_without_entitlement = 0;
    /// Objects whose newest write is malformed.
    std::size_t malformed_now = 0;
    apply_counters counters;
};

/// The same as JSON, with these names.
std::string to_json_text(const lists_status& status);

enum class adoption
{
    adopted,
    /// The peer knows no more than this instance.
    not_newer,
};

/// Writes the lists snapshot from the store's objects: each version once, in
/// order, never backwards. Thread-safe.
class lists_controller final : public store_consumer
{
public:
    explicit lists_controller(rcu_cell<lists_snapshot>& cell);

    /// Kinds of store objects that this controller reads.
    static std::vector<std::string> store_kinds();

    std::vector<std::string> kinds() const override;

    void on_snapshot(const store_snapshot& snapshot) override;
    void on_events(const watch_batch& batch) override;

    /// The lists in force, for an instance that cannot reach the store.
    std::string export_for_peer() const;

    /// Takes a peer's lists when they are newer than this instance's; those of
    /// equal age only mend entries that are malformed in the store. Errors:
    /// errc::malformed (nothing changed).
    result<adoption> adopt_from_peer(std::string_view document);

    lists_status status() const;

private:
    void apply(const store_event& event)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    void apply_written(const stored_object& object)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    template <class Entry, class Decoded>
    void write(
        object_table<Entry>& table,
        const stored_object& object,
        const Decoded& decoded) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    void adopt(lists_transfer newer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);

    rcu_cell<lists_snapshot>& cell;

    mutable absl::Mutex mutex;
    stream_position position ABSL_GUARDED_BY(mutex);
    /// Its `applied` is set only in an export; `position` is what counts.
    lists_transfer lists ABSL_GUARDED_BY(mutex);
    bool changed ABSL_GUARDED_BY(mutex) = false;
    apply_counters counts ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
