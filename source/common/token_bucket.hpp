#pragma once

#include "common/clock.hpp"

namespace fireflysail
{

/// Fills at a rate up to a cap, starting empty.
class token_bucket
{
public:
    /// What was filled so far is kept, up to the new cap.
    void configure(double rate, double cap, time_point now);

    double level(time_point now) const;

    /// Never leaves less than nothing; the caller checks the level first.
    void take(double amount, time_point now);

    void give_back(double amount, time_point now);

    /// Time until the level is `amount`; the maximum when it never will be.
    duration time_until(double amount, time_point now) const;

private:
    double filled = 0;
    double rate = 0;
    double cap = 0;
    time_point updated_at{};
};

} // namespace fireflysail
