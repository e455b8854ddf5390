#pragma once

#include "common/clock.hpp"

namespace fireflysail
{

/// Token bucket that allows `rate` units a second on average and `burst` at
/// once. Starts empty, so that a change of leader does not double the rate.
class load_rate_limit
{
public:
    load_rate_limit(double rate, double burst, time_point now);

    /// Takes `cost` units, or returns false when too few are available. A cost
    /// above the burst requires a full bucket and leaves the level negative.
    bool try_take(double cost, time_point now);

private:
    double rate;
    double burst;
    double tokens = 0;
    time_point updated_at;
};

} // namespace fireflysail
