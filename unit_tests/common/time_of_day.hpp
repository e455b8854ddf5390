#pragma once

#include <chrono>

namespace fireflysail::testing
{

/// The time of day of this test's process is ahead by `lead` until the end of
/// this object, which sets it right: the kernel's own is right all the time.
class early_time_of_day
{
public:
    explicit early_time_of_day(std::chrono::seconds lead);
    ~early_time_of_day();

    early_time_of_day(const early_time_of_day&) = delete;
    early_time_of_day& operator=(const early_time_of_day&) = delete;
};

} // namespace fireflysail::testing
