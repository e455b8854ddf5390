#pragma once

#include "common/clock.hpp"
#include "common/wake_signal.hpp"
#include "control/lease_client.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <thread>

namespace fireflysail
{

/// Maintains the lease of one duty on a dedicated thread and runs the duty
/// while this instance is the leader. An expired lease does not end leadership
/// while the store shows no newer holder: every effect carries the fencing
/// number, so a later leader is safe, and a long store outage must not stop
/// repairs. Leadership ends when the fencing number is first refused.
class duty_thread
{
public:
    /// Performs the work that is due and calls `is_still_leader` before each
    /// effect. Returns false once an effect was refused because of a later
    /// leader.
    using leader_task = std::function<bool(
        const leadership& current,
        const std::function<bool()>& is_still_leader)>;

    /// `can_lead` returns whether this instance can carry out the duty; while
    /// it cannot, the lease is given up, and no work is done as leader.
    /// `needs_leader` returns whether the duty lacks a leader; the lease is
    /// requested only then, because every store call has a cost.
    /// `periodic_task` runs at the end of each step, whether or not this
    /// instance is the leader.
    duty_thread(
        lease_client lease,
        leader_task run_as_leader,
        std::function<bool()> can_lead,
        std::function<bool()> needs_leader,
        std::function<void()> periodic_task);
    ~duty_thread();

    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;

    void start();

    /// Requests an immediate step, for example after a change of the fleet.
    void wake();

    /// Releases the lease and stops acquiring it. Returns without waiting for
    /// the store.
    void release();

    bool is_leader() const;

    /// Whether the lease is valid, as of the last step. A leader may go on for
    /// a while without it.
    bool holds_lease() const;

private:
    void run();
    void step(bool start_release);
    /// Gives up the lease while the duty cannot be carried out.
    void update_ability();

    lease_client lease;
    const leader_task run_as_leader;
    const std::function<bool()> can_lead;
    const std::function<bool()> needs_leader;
    const std::function<void()> periodic_task;

    wake_signal due;
    mutable absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    bool release_requested ABSL_GUARDED_BY(mutex) = false;
    bool leading ABSL_GUARDED_BY(mutex) = false;
    bool lease_is_valid ABSL_GUARDED_BY(mutex) = false;
    bool release_started = false;
    bool is_able = true;
    std::thread thread;
};

} // namespace fireflysail
