#pragma once

#include "store/view_freshness.hpp"
#include "store/watch_hub.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fireflysail
{

/// Records what a watch has read, so that instances can compare their views.
/// The last consumer of its hub, as all others have taken in what it records.
class watch_progress final : public store_consumer
{
public:
    /// `on_answer` is called after each answer, on the hub's thread.
    watch_progress(
        std::vector<std::string> kinds,
        std::function<void(const view_position&)> on_answer);

    std::vector<std::string> kinds() const override;
    void on_snapshot(const store_snapshot& snapshot) override;
    void on_events(const watch_batch& batch) override;

    /// Any thread; zero before the first snapshot.
    view_position position() const;

private:
    void set_version(const object_key& key, std::optional<revision> version);
    void publish(revision newest);

    const std::vector<std::string> watched;
    const std::function<void(const view_position&)> on_answer;
    /// Used by the hub's thread alone.
    absl::flat_hash_map<std::string, revision> versions;
    std::uint64_t digest = 0;
    mutable absl::Mutex mutex;
    view_position reached ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
