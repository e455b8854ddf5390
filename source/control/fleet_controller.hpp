#pragma once

#include "blackboard/fleet.hpp"
#include "common/snapshot_cell.hpp"
#include "control/fleet_codec.hpp"
#include "control/health_tracker.hpp"
#include "control/marks_codec.hpp"
#include "control/object_table.hpp"
#include "control/stream_position.hpp"
#include "store/watch_hub.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// State that an engine reports about itself.
struct engine_report
{
    server_role role = server_role::mixed;
    std::vector<holding> holdings;
    load_report load;
};

/// Builds the fleet snapshot from the store's objects, the engines' reports and
/// probe results. Thread-safe. Changes from the store and marks are published
/// before the call returns; reports and probe results with the next
/// `publish_changes`.
class fleet_controller final : public store_consumer
{
public:
    explicit fleet_controller(
        snapshot_cell<fleet_snapshot>& cell, health_settings settings = {});

    /// Kinds of store objects that this controller reads.
    static std::vector<std::string> store_kinds();

    std::vector<std::string> kinds() const override;

    void on_snapshot(const store_snapshot& snapshot) override;
    void on_events(const watch_batch& batch) override;

    void on_report(const server_id& server, engine_report report);

    /// Records the result of a probe of, or a request to, `server`.
    void on_outcome(const server_id& server, bool succeeded);

    void on_listing(const server_id& server, listing reading);

    /// Publishes pending changes from reports and probes. Called a few times a
    /// second, so that the cost does not grow with the number of reports.
    void publish_changes();

    /// Returns the marks with a version above `newer_than`, to send to peers.
    std::vector<mark_record> export_marks(revision newer_than = {}) const;

    /// Merges marks accepted locally or received from a peer. For each server
    /// the highest version wins; a mark never reverts to an older version.
    void adopt_marks(const std::vector<mark_record>& marks);

    apply_counters counters() const;

private:
    struct mark_state
    {
        server_mark mark = server_mark::serving;
        revision version;
    };

    void apply(const store_event& event)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    void apply_written(const stored_object& object)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    void apply_removed(const stored_object& object)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    void retain_objects_of(const store_snapshot& snapshot)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    bool set_mark(const std::string& server, mark_state next)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    void reject(const stored_object& object)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);
    template <class Value>
    void write(
        object_table<Value>& table,
        const stored_object& object,
        const result<Value>& decoded)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);

    server_mark
    effective_mark(const server_id& server, bool has_work_ready) const
        ABSL_SHARED_LOCKS_REQUIRED(this->mutex);
    bool is_healthy(const server_id& server) const
        ABSL_SHARED_LOCKS_REQUIRED(this->mutex);
    engine build(engine server) const ABSL_SHARED_LOCKS_REQUIRED(this->mutex);
    service_server build(service_server server) const
        ABSL_SHARED_LOCKS_REQUIRED(this->mutex);
    void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex);

    snapshot_cell<fleet_snapshot>& cell;
    const health_settings settings;

    mutable absl::Mutex mutex;
    stream_position position ABSL_GUARDED_BY(mutex);
    object_table<server_registration> servers ABSL_GUARDED_BY(mutex);
    object_table<model_shape> models ABSL_GUARDED_BY(mutex);
    object_table<zone_link> links ABSL_GUARDED_BY(mutex);
    std::map<std::string, mark_state> marks ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<server_id, engine_report>
        reports ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<server_id, health_tracker>
        health ABSL_GUARDED_BY(mutex);
    bool changed ABSL_GUARDED_BY(mutex) = false;
    apply_counters counts ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
