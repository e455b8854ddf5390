#pragma once

#include "common/clock.hpp"
#include "control/lease_keeper.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <thread>

namespace fireflysail
{

/// Keeps the lease of one duty on a thread of its own and carries the duty out
/// while this instance leads.
class duty_thread
{
public:
    /// Carries out what is due; asks `still_leads` before each effect.
    using work = std::function<void(
        const leadership& led, const std::function<bool()>& still_leads)>;

    /// `upkeep` is called about as often, whether this instance leads or not.
    duty_thread(
        lease_keeper keeper, work when_leading, std::function<void()> upkeep);
    ~duty_thread();

    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;

    void start();

    /// Looks at the duty at once, as something changed.
    void wake();

    /// Gives the lease back and takes no other; returns at once.
    void release();

    bool leads() const;

private:
    void run();
    void step(bool give_back);

    lease_keeper keeper;
    const work when_leading;
    const std::function<void()> upkeep;

    mutable absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    bool woken ABSL_GUARDED_BY(mutex) = false;
    bool releasing ABSL_GUARDED_BY(mutex) = false;
    bool leading ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace fireflysail
