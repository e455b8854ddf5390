#include "main/stop_signals.hpp"

#include "main/process_setup.hpp"

#include <csignal>
#include <ctime>

namespace fireflysail
{

namespace
{

sigset_t stop_set()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

stop_signals::stop_signals()
{
    const auto signals = stop_set();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    ignore_write_signals();
}

void stop_signals::wait() const
{
    const auto signals = stop_set();
    int taken = 0;
    sigwait(&signals, &taken);
}

bool stop_signals::wait_for(std::chrono::milliseconds limit) const
{
    const auto signals = stop_set();
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(limit);
    const std::chrono::nanoseconds rest = limit - seconds;
    const timespec time{seconds.count(), rest.count()};
    return sigtimedwait(&signals, nullptr, &time) > 0;
}

} // namespace fireflysail
