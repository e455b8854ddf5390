#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace fireflysail::benchmarks
{

/// The value below which `part` of the samples lie; 0 without samples.
inline double percentile(std::vector<double> samples, double part)
{
    if (samples.empty())
    {
        return 0;
    }
    const auto rank =
        static_cast<std::size_t>(part * static_cast<double>(samples.size()));
    const auto at = samples.begin() + static_cast<std::ptrdiff_t>(
                                          std::min(rank, samples.size() - 1));
    std::ranges::nth_element(samples, at);
    return *at;
}

} // namespace fireflysail::benchmarks
