#include "common/clock.hpp"

#include <ctime>

namespace fireflysail
{

time_point system_clock::now() const
{
    return std::chrono::steady_clock::now();
}

wall_time system_clock::wall_now() const
{
    return std::chrono::system_clock::now();
}

time_point boot_clock::now() const
{
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point{
        std::chrono::seconds{read.tv_sec} +
        std::chrono::nanoseconds{read.tv_nsec}};
}

wall_time boot_clock::wall_now() const
{
    return std::chrono::system_clock::now();
}

time_point manual_clock::now() const
{
    return time_point{duration{this->elapsed.load(std::memory_order_acquire)}};
}

wall_time manual_clock::wall_now() const
{
    const auto since_start = this->now().time_since_epoch();
    return wall_time{
        std::chrono::duration_cast<wall_time::duration>(since_start)};
}

void manual_clock::advance(duration step)
{
    this->elapsed.fetch_add(step.count(), std::memory_order_acq_rel);
}

void manual_clock::advance_to(time_point when)
{
    if (when > this->now())
    {
        this->elapsed.store(
            when.time_since_epoch().count(), std::memory_order_release);
    }
}

} // namespace fireflysail
