#pragma once

#include "common/clock.hpp"
#include "routing/recovery.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <random>

namespace fireflysail
{

/// The retry budget and the pacing that all requests of the instance share.
/// Thread-safe.
class recovery_pool
{
public:
    recovery_pool(const clock& time, std::uint64_t seed);

    recovery_step next_step(
        request_recovery& recovery,
        const attempt_failure& failure,
        const recovery_view& view);

    void credit();

private:
    const clock& time;
    absl::Mutex mutex;
    retry_budget budget ABSL_GUARDED_BY(mutex);
    resume_pacer pacer ABSL_GUARDED_BY(mutex);
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
