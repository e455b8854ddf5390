#pragma once

#include "common/clock.hpp"

namespace fireflysail
{

/// Token bucket that bounds retries and hedges to a share of the requests, so
/// that they cannot multiply the load of backend servers that are failing. A
/// small refill by time lets a quiet instance retry too.
class retry_budget
{
public:
    struct options
    {
        double share_of_requests = 0.1;
        double refill_per_second = 1;
        double capacity = 100;
        double initial = 10;
    };

    retry_budget(const options& chosen, time_point now);

    /// Takes other options from now on; what is left stays, up to the new most.
    void configure(const options& wanted, time_point now);

    /// Counts a request towards the share.
    void credit(time_point now);

    /// Takes one retry; false when the budget is used up.
    bool try_take(time_point now);

    /// Returns a retry that was not sent after all.
    void give_back(time_point now);

    double left(time_point now) const;

private:
    options chosen;
    double tokens = 0;
    time_point updated_at{};
};

} // namespace fireflysail
