#pragma once

#include "common/clock.hpp"
#include "routing/crash_suspicion.hpp"
#include "store/watch_hub.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <string>
#include <vector>

namespace fireflysail
{

/// Registry of requests whose content is suspected of crashing backend servers.
/// The instances share it through the store, because a caller's resend arrives
/// at another instance. Thread-safe.
class crash_registry final : public store_consumer
{
public:
    static constexpr const char* kind = "crash-suspicion";

    crash_registry(store& objects, const clock& time);

    /// Returns whether a request with this fingerprint may run now.
    crash_status status_of(fingerprint print) const;

    /// Records the loss of a server that was starting to run the request.
    void on_crash(const server_id& server, fingerprint print);

    /// Writes new suspicions to the store, and those that an earlier call
    /// failed to write. Blocks on the store.
    void publish();

    std::vector<std::string> kinds() const override;
    void on_snapshot(const store_snapshot& snapshot) override;
    void on_events(const watch_batch& batch) override;

private:
    void import_object(const stored_object& object);

    store& objects;
    const clock& time;
    mutable absl::Mutex mutex;
    crash_suspicion suspicions ABSL_GUARDED_BY(mutex);
    std::vector<fingerprint> unpublished ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
