#include "common/time_of_day.hpp"

#include <sys/syscall.h>
#include <sys/time.h>

#include <atomic>
#include <ctime>
#include <unistd.h>

namespace
{

std::atomic<std::int64_t> lead_seconds{0};

} // namespace

// Takes the place of the C library's.
extern "C" int clock_gettime(clockid_t which, timespec* read) noexcept
{
    const auto failed = syscall(SYS_clock_gettime, which, read);
    if (which == CLOCK_REALTIME)
    {
        read->tv_sec += lead_seconds.load();
    }
    return static_cast<int>(failed);
}

// Takes the place of the C library's.
extern "C" int gettimeofday(timeval* read, void*) noexcept
{
    constexpr long nanoseconds_per_microsecond = 1000;
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    *read = {now.tv_sec, now.tv_nsec / nanoseconds_per_microsecond};
    return 0;
}

namespace fireflysail::testing
{

early_time_of_day::early_time_of_day(std::chrono::seconds lead)
{
    lead_seconds = lead.count();
}

early_time_of_day::~early_time_of_day()
{
    lead_seconds = 0;
}

} // namespace fireflysail::testing
