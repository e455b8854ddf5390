#pragma once

#include "common/clock.hpp"
#include "limits/limit_messages.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail
{

/// Permits granted to one holder.
struct permit_reservation
{
    permit_block block;
    time_point start{};
    duration request_step{};
    duration token_step{};
    /// Value of `requests_earned` after this reservation.
    time_point schedule_end{};
};

/// Schedules permits in advance at the rates that are not leased, using the
/// generic cell rate algorithm (GCRA). A permit that becomes available only
/// shortly after the request then needs no second message.
class permit_schedule
{
public:
    /// `burst` is available at once after an idle period.
    void configure(const limit_rates& rates, const limit_rates& burst);

    /// Reserves up to `wanted` permits that start within `horizon`. The block's
    /// count is 0 if there are none.
    permit_reservation reserve(
        std::uint32_t wanted,
        std::uint64_t cost,
        duration horizon,
        time_point now);

    /// Takes back those of the last `unused` permits of a reservation that
    /// start after `now`. Permits whose time has passed are lost: using them
    /// later would exceed the rate at that time.
    void give_back(
        const permit_reservation& from, std::uint32_t unused, time_point now);

    /// True if reservations reach noticeably beyond `now`.
    bool is_reserved_after(time_point now) const;

    double requests_per_second() const;

private:
    struct returned_permit
    {
        time_point start{};
        std::uint64_t cost = 0;
    };

    bool take_returned(
        std::uint64_t cost,
        duration horizon,
        time_point now,
        permit_reservation& reservation);

    limit_rates rates;
    limit_rates burst;
    /// Time at which the rates have covered all permits granted so far.
    time_point requests_earned{};
    time_point tokens_earned{};
    std::vector<returned_permit> returned;
};

} // namespace fireflysail
