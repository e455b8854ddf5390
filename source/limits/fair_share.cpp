#include "limits/fair_share.hpp"

#include <algorithm>
#include <limits>

namespace fireflysail
{

double fair_level(std::vector<double> wanted, double pool)
{
    std::ranges::sort(wanted);
    double left = std::max(pool, 0.0);
    auto remaining = static_cast<double>(wanted.size());
    for (const double amount : wanted)
    {
        if (amount * remaining > left)
        {
            return left / remaining;
        }
        left -= amount;
        remaining -= 1;
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace fireflysail
