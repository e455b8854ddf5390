#include "control/duty_thread.hpp"

#include "common/log.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

/// Longest pause between two looks at the duty: bounds the delay of what comes
/// due by time alone.
constexpr std::chrono::milliseconds longest_pause{250};

} // namespace

duty_thread::duty_thread(
    lease_keeper keeper,
    work when_leading,
    std::function<bool()> wants_lead,
    std::function<void()> upkeep)
    : keeper{std::move(keeper)}
    , when_leading{std::move(when_leading)}
    , wants_lead{std::move(wants_lead)}
    , upkeep{std::move(upkeep)}
{
}

duty_thread::~duty_thread()
{
    {
        const absl::MutexLock lock{&this->mutex};
        this->stopping = true;
    }
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
    const absl::MutexLock lock{&this->mutex};
    this->woken = true;
}

void duty_thread::release()
{
    const absl::MutexLock lock{&this->mutex};
    this->releasing = true;
}

bool duty_thread::leads() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->leading;
}

std::optional<leadership> duty_thread::current() const
{
    const auto latest = this->keeper.latest();
    const bool is_refused =
        latest && this->refused && latest->fence <= *this->refused;
    return is_refused ? std::nullopt : latest;
}

void duty_thread::step(bool give_back)
{
    if (give_back)
    {
        this->given_back = true;
        this->keeper.release();
    }
    if (!this->given_back)
    {
        this->keeper.set_candidate(
            this->current().has_value() || this->wants_lead());
    }
    this->keeper.step();
    const auto led = this->current();
    bool led_before = false;
    {
        const absl::MutexLock lock{&this->mutex};
        led_before = std::exchange(this->leading, led.has_value());
    }
    if (led.has_value() != led_before)
    {
        log::event(
            log::level::info,
            log::channel::control,
            led ? "leadership_gained" : "leadership_lost",
            {{"fence", led ? led->fence.value() : 0},
             {"lease_valid", this->keeper.held().has_value()}});
    }
    if (led)
    {
        const bool goes_on = this->when_leading(
            *led,
            [this]
            {
                return this->current().has_value();
            });
        if (!goes_on)
        {
            this->refused = led->fence;
        }
    }
    this->upkeep();
}

void duty_thread::run()
{
    const auto has_cause = [this]
    {
        this->mutex.AssertHeld();
        return this->stopping || this->woken;
    };
    while (true)
    {
        bool give_back = false;
        {
            const absl::MutexLock lock{&this->mutex};
            this->mutex.AwaitWithTimeout(
                absl::Condition(&has_cause), absl::FromChrono(longest_pause));
            if (this->stopping)
            {
                return;
            }
            this->woken = false;
            give_back = this->releasing && !this->given_back;
        }
        this->step(give_back);
    }
}

} // namespace fireflysail
