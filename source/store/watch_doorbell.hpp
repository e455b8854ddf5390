#pragma once

#include "store/watch_hub.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <string>
#include <vector>

namespace fireflysail
{

/// Reads a watch that is cheap, waits shortly and may lag, beside one that is
/// current and waits long. It takes no data from it, which may be old; it sees
/// that the store answers, and that there are changes which the long watch
/// should have told of: its connection may have gone silent, or the store may
/// have forgotten it in an outage.
class watch_doorbell final : public store_consumer
{
public:
    /// `on_contact` is called with each answer, on the hub's thread.
    watch_doorbell(
        std::vector<std::string> kinds,
        const clock& time,
        std::function<void()> on_contact);

    std::vector<std::string> kinds() const override;
    void on_snapshot(const store_snapshot& snapshot) override;
    void on_events(const watch_batch& batch) override;

    /// Whether the long watch in progress has overlooked changes. One that has
    /// not started yet will tell of them at once. Any thread.
    bool is_overlooked(const watch_hub_status& long_watch) const;

private:
    const std::vector<std::string> watched;
    const clock& time;
    const std::function<void()> on_contact;
    mutable absl::Mutex mutex;
    revision newest ABSL_GUARDED_BY(mutex);
    time_point rung_at ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
