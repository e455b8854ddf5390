#pragma once

#include "common/clock.hpp"

namespace fireflysail
{

/// Token bucket that limits retries and hedges to a fraction of the requests,
/// so that they do not multiply the load of failing backend servers. A slow
/// refill over time allows an instance with little traffic to retry, too.
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

    /// Replaces the options. The tokens left are kept, up to the new capacity.
    void configure(const options& wanted, time_point now);

    /// Adds the share of one request.
    void credit(time_point now);

    /// Takes one retry. Returns false if the budget is used up.
    bool try_take(time_point now);

    /// Takes one retry if more than half of the capacity is left. For retries
    /// that are worth less than those after a failure.
    bool try_take_spare(time_point now);

    /// Returns the token of a retry that was not sent.
    void give_back(time_point now);

    double left(time_point now) const;

private:
    options chosen;
    double tokens = 0;
    time_point updated_at{};
};

} // namespace fireflysail
