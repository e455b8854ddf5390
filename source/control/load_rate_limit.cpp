#include "control/load_rate_limit.hpp"

#include <algorithm>

namespace fireflysail
{

load_rate_limit::load_rate_limit(double rate, double burst, time_point now)
    : rate{rate}
    , burst{burst}
    , updated_at{now}
{
}

bool load_rate_limit::try_take(double cost, time_point now)
{
    const std::chrono::duration<double> elapsed = now - this->updated_at;
    this->tokens =
        std::min(this->burst, this->tokens + this->rate * elapsed.count());
    this->updated_at = now;
    if (this->tokens < std::min(cost, this->burst))
    {
        return false;
    }
    this->tokens -= cost;
    return true;
}

} // namespace fireflysail
