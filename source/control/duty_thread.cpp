#include "control/duty_thread.hpp"

#include "common/guarded.hpp"
#include "common/log.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

/// Upper bound on the time between two steps, and so on the delay of work that
/// becomes due by time alone.
constexpr std::chrono::milliseconds max_wait{250};

} // namespace

duty_thread::duty_thread(
    lease_client lease,
    leader_task run_as_leader,
    std::function<bool()> can_lead,
    std::function<bool()> needs_leader,
    std::function<void()> periodic_task)
    : lease{std::move(lease)}
    , run_as_leader{std::move(run_as_leader)}
    , can_lead{std::move(can_lead)}
    , needs_leader{std::move(needs_leader)}
    , periodic_task{std::move(periodic_task)}
{
}

duty_thread::~duty_thread()
{
    {
        const absl::MutexLock lock{&this->mutex};
        this->stopping = true;
    }
    this->due.set();
    if (this->thread.joinable())
    {
        this->thread.join();
    }
}

void duty_thread::start()
{
    this->thread = std::thread{[this]
                               {
                                   this->run();
                               }};
}

void duty_thread::wake()
{
    this->due.set();
}

void duty_thread::release()
{
    const absl::MutexLock lock{&this->mutex};
    this->release_requested = true;
}

bool duty_thread::is_leader() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->leading;
}

bool duty_thread::holds_lease() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->lease_is_valid;
}

void duty_thread::update_ability()
{
    const bool is_able_now = this->can_lead();
    if (std::exchange(this->is_able, is_able_now) == is_able_now)
    {
        return;
    }
    log::event(
        log::level::info,
        log::channel::control,
        "ability_to_lead",
        {{"able", is_able_now}, {"led", this->is_leader()}});
    if (is_able_now)
    {
        this->lease.resume();
    }
    else
    {
        this->lease.release();
    }
}

void duty_thread::step(bool start_release)
{
    if (start_release)
    {
        this->release_started = true;
        this->lease.release();
    }
    if (!this->release_started)
    {
        this->update_ability();
    }
    if (!this->release_started && this->is_able)
    {
        this->lease.set_candidate(
            this->lease.latest().has_value() || this->needs_leader());
    }
    this->lease.step();
    const auto current = this->lease.latest();
    bool was_leader = false;
    {
        const absl::MutexLock lock{&this->mutex};
        was_leader = std::exchange(this->leading, current.has_value());
        this->lease_is_valid =
            current.has_value() && this->lease.held().has_value();
    }
    if (current.has_value() != was_leader)
    {
        log::event(
            log::level::info,
            log::channel::control,
            current ? "leadership_gained" : "leadership_lost",
            {{"fence", current ? current->fence.value() : 0},
             {"lease_valid", this->lease.held().has_value()}});
    }
    if (current && this->is_able)
    {
        const bool accepted = this->run_as_leader(
            *current,
            [this]
            {
                return this->lease.latest().has_value() && this->can_lead();
            });
        if (!accepted)
        {
            this->lease.on_refused(current->fence);
        }
    }
}

void duty_thread::run()
{
    while (true)
    {
        this->due.wait_for(max_wait);
        bool start_release = false;
        {
            const absl::MutexLock lock{&this->mutex};
            if (this->stopping)
            {
                return;
            }
            start_release = this->release_requested && !this->release_started;
        }
        const bool done = run_guarded(
            "duty",
            [this, start_release]
            {
                this->step(start_release);
            });
        if (!done)
        {
            // Others take over from an instance that cannot do the duty.
            const absl::MutexLock lock{&this->mutex};
            this->leading = false;
            this->lease_is_valid = false;
        }
        run_guarded("upkeep", this->periodic_task);
    }
}

} // namespace fireflysail
