#include "limits/permit_schedule.hpp"

#include "limits/limit_timing.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

// Lower rates are rounding errors and count as zero.
constexpr double min_rate = 1e-3;
constexpr duration reservation_tolerance = std::chrono::milliseconds{10};

duration time_for(double amount, double rate)
{
    return from_seconds(amount / rate);
}

} // namespace

void permit_schedule::configure(
    const limit_rates& new_rates, const limit_rates& new_burst)
{
    this->rates = new_rates;
    this->burst = new_burst;
}

permit_reservation permit_schedule::reserve(
    std::uint32_t wanted, std::uint64_t cost, duration horizon, time_point now)
{
    permit_reservation made;
    if (wanted == 0 || this->take_returned(cost, horizon, now, made) ||
        this->rates.requests < min_rate ||
        (cost > 0 && this->rates.tokens < min_rate))
    {
        return made;
    }
    made.request_step = time_for(1, this->rates.requests);
    time_point start = std::max(this->requests_earned, now) -
                       time_for(this->burst.requests - 1, this->rates.requests);
    if (cost > 0)
    {
        const auto tokens = static_cast<double>(cost);
        made.token_step = time_for(tokens, this->rates.tokens);
        start = std::max(
            start,
            std::max(this->tokens_earned, now) -
                time_for(this->burst.tokens - tokens, this->rates.tokens));
    }
    start = std::max(start, now);
    if (start > now + horizon)
    {
        return made;
    }
    const duration spacing = std::max(made.request_step, made.token_step);
    const auto fitting =
        static_cast<std::uint64_t>((now + horizon - start) / spacing) + 1;
    made.block.count =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(wanted, fitting));
    made.block.cost = cost;
    made.block.delay = start - now;
    made.block.spacing = spacing;
    made.start = start;
    this->requests_earned = std::max(this->requests_earned, now) +
                            made.block.count * made.request_step;
    this->tokens_earned =
        std::max(this->tokens_earned, now) + made.block.count * made.token_step;
    made.schedule_end = this->requests_earned;
    return made;
}

void permit_schedule::give_back(
    const permit_reservation& from, std::uint32_t unused, time_point now)
{
    const bool is_newest = from.schedule_end == this->requests_earned;
    for (std::uint32_t i = 0; i < unused; ++i)
    {
        const std::uint32_t index = from.block.count - 1 - i;
        const time_point start = from.start + index * from.block.spacing;
        if (start <= now)
        {
            break;
        }
        if (is_newest)
        {
            this->requests_earned -= from.request_step;
            this->tokens_earned -= from.token_step;
        }
        else
        {
            this->returned.push_back({start, from.block.cost});
        }
    }
}

bool permit_schedule::is_reserved_after(time_point now) const
{
    return std::max(this->requests_earned, this->tokens_earned) >
           now + reservation_tolerance;
}

double permit_schedule::requests_per_second() const
{
    return this->rates.requests;
}

bool permit_schedule::take_returned(
    std::uint64_t cost,
    duration horizon,
    time_point now,
    permit_reservation& reservation)
{
    std::erase_if(
        this->returned,
        [&](const returned_permit& one)
        {
            return one.start <= now;
        });
    const auto found = std::ranges::find_if(
        this->returned,
        [&](const returned_permit& one)
        {
            return one.cost >= cost && one.start <= now + horizon;
        });
    if (found == this->returned.end())
    {
        return false;
    }
    reservation.block = {1, found->cost, found->start - now, {}};
    reservation.start = found->start;
    this->returned.erase(found);
    return true;
}

} // namespace fireflysail
