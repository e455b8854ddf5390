#pragma once

#include "common/clock.hpp"
#include "control/lease_client.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <optional>
#include <thread>

namespace fireflysail
{

/// Keeps the lease of one duty on a thread of its own and carries the duty out
/// while this instance leads. Goes on after its lease ran out while the store
/// shows nobody else's: every effect carries the fencing number, so a later
/// leader is safe, and a store that is down for long must not stop repairs.
/// Ends at the first refusal of the number.
class duty_thread
{
public:
    /// Carries out what is due; asks `still_leads` before each effect. False
    /// once an effect was refused because of a later leader.
    using leader_task = std::function<bool(
        const leadership& current,
        const std::function<bool()>& is_still_leader)>;

    /// `wants_lead` says whether the duty lacks a leader: the lease is asked
    /// for only then, as every look at it is a call that is paid for. `upkeep`
    /// is called about as often, whether this instance leads or not.
    duty_thread(
        lease_client lease,
        leader_task run_as_leader,
        std::function<bool()> needs_leader,
        std::function<void()> periodic_task);
    ~duty_thread();

    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;

    void start();

    /// Looks at the duty at once, as something changed.
    void wake();

    /// Gives the lease back and takes no other; returns at once.
    void release();

    bool is_leader() const;

private:
    void run();
    void step(bool start_release);
    std::optional<leadership> current_leadership() const;

    lease_client lease;
    const leader_task run_as_leader;
    const std::function<bool()> needs_leader;
    const std::function<void()> periodic_task;

    mutable absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    bool wake_requested ABSL_GUARDED_BY(mutex) = false;
    bool release_requested ABSL_GUARDED_BY(mutex) = false;
    bool leading ABSL_GUARDED_BY(mutex) = false;
    bool release_started = false;
    /// Number that was refused.
    std::optional<fencing_number> refused_fence;
    std::thread thread;
};

} // namespace fireflysail
