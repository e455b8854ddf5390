#pragma once

#include "common/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace fireflysail
{

/// Measures the offered load in units per second over a sliding window of less
/// than a second.
class demand_meter
{
public:
    void add(double amount, time_point now);

    double per_second(time_point now) const;

private:
    static constexpr std::size_t slice_count = 8;

    struct slice
    {
        std::int64_t number = -1;
        double amount = 0;
    };

    std::array<slice, slice_count> slices;
};

} // namespace fireflysail
