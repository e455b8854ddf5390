#pragma once

#include "blackboard/lists.hpp"
#include "common/result.hpp"
#include "common/snapshot_cell.hpp"
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

/// Status of the lists that are in force on an instance.
struct lists_status
{
    /// Revision of the store up to which all changes are in force.
    revision applied;
    /// Hash of the lists; equal on instances with equal lists.
    std::uint64_t digest = 0;
    std::size_t plans = 0;
    std::size_t entitlements = 0;
    /// Workspaces whose plan has no entitlement; their requests are refused.
    std::size_t workspaces_without_entitlement = 0;
    /// Objects whose latest write is malformed.
    std::size_t malformed_now = 0;
    apply_counters counters;
};

/// Returns the status as JSON with the field names of `lists_status` and
/// `apply_counters`.
std::string to_json_text(const lists_status& status);

enum class adoption
{
    adopted,
    /// The peer's lists are not newer and hold no value that is missing here
    /// because of a malformed write.
    not_newer,
};

/// Builds the lists snapshot from the store's objects. Applies each version
/// once and in order, and never returns to an older one. Thread-safe.
class lists_controller final : public store_consumer
{
public:
    explicit lists_controller(snapshot_cell<lists_snapshot>& cell);

    /// Kinds of store objects that this controller reads.
    static std::vector<std::string> store_kinds();

    std::vector<std::string> kinds() const override;

    void on_snapshot(const store_snapshot& snapshot) override;
    void on_events(const watch_batch& batch) override;

    /// Returns the lists in force, encoded for an instance that cannot reach
    /// the store.
    std::string export_for_peer() const;

    /// Replaces the lists with a peer's lists if those are newer, except that
    /// values in force here are kept where the peer has only malformed writes.
    /// Otherwise only takes values of entries for which this instance has
    /// received nothing but malformed writes. Errors: errc::malformed (nothing
    /// changed).
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

    snapshot_cell<lists_snapshot>& cell;

    mutable absl::Mutex mutex;
    stream_position position ABSL_GUARDED_BY(mutex);
    /// `applied` is valid only in an exported copy; use `position` instead.
    lists_transfer lists ABSL_GUARDED_BY(mutex);
    bool changed ABSL_GUARDED_BY(mutex) = false;
    apply_counters counts ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
