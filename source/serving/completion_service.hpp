#pragma once

#include "backend/engine_api.hpp"
#include "common/clock.hpp"
#include "metrics/request_metrics.hpp"
#include "serving/admission_gate.hpp"
#include "serving/completion_request.hpp"
#include "serving/crash_watch.hpp"
#include "serving/id_source.hpp"
#include "serving/pipeline_router.hpp"
#include "serving/recovery_pool.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <memory>
#include <variant>

namespace fireflysail
{

class completion_job;

/// Serves completions: admission, choice of pipeline, attempts, recovery.
class completion_service
{
public:
    struct parts
    {
        const clock& time;
        engine_api& engines;
        pipeline_router& router;
        crash_watch& crashes;
        recovery_pool& recoveries;
        id_source& ids;
        request_metrics& metrics;
        std::uint32_t max_attempts = 8;
        std::chrono::milliseconds min_silence{250};
        std::chrono::milliseconds max_silence{30'000};
        /// Requests that may wait in one class of a model.
        std::size_t queue_limit = 512;
    };

    explicit completion_service(const parts& used);

    using admission =
        std::variant<std::unique_ptr<completion_job>, did_not_run>;

    /// Waits until the request may run; refusals mean that nothing ran.
    admission admit(completion_request request, const caller_presence& present);

    /// Sets how many streams of each model this instance runs at once, as one
    /// of `instances` that share the fleet.
    void set_slots(std::size_t instances);

    /// Lets waiting work proceed; called every 10 ms.
    void tick();

    std::size_t waiting() const;
    std::size_t running() const;

private:
    friend class completion_job;

    admission_gate* gate_of(const model_id& model);

    parts used;
    mutable absl::Mutex mutex;
    absl::flat_hash_map<model_id, std::unique_ptr<admission_gate>>
        gates ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
