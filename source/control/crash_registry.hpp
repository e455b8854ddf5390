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

/// Requests whose content crashed backend servers, shared among the instances
/// through the store: the caller's resend comes through another one. Safe to
/// use from several threads.
class crash_registry final : public store_consumer
{
public:
    static constexpr const char* kind = "crash-suspicion";

    crash_registry(store& objects, const clock& time);

    /// Whether a request with this content may run now.
    crash_judgement judge(fingerprint print) const;

    /// The server was lost while it began to run the request.
    void on_crash(const server_id& server, fingerprint print);

    /// Tells the store what was found here, and what an earlier call could
    /// not tell; blocks for its calls.
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
