#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <vector>

namespace fireflysail::simulation
{

/// Admissions of one workspace over all instances, in order of time.
class usage_record
{
public:
    void add(time_point when, double amount);

    double total(time_point from, time_point to) const;

    /// Largest sum within any window of this length that starts in
    /// [from, to).
    double
    largest_window(duration length, time_point from, time_point to) const;

private:
    struct admission
    {
        time_point when;
        double amount = 0;
    };

    std::vector<admission> admissions;
};

} // namespace fireflysail::simulation
