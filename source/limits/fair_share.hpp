#pragma once

#include <vector>

namespace fireflysail
{

/// Max-min fair level: if each participant gets the lower of its demand and
/// this level, the pool is used up exactly. Infinite if the pool covers the
/// total demand.
double fair_level(std::vector<double> wanted, double pool);

} // namespace fireflysail
