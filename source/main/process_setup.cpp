#include "main/process_setup.hpp"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <initializer_list>

namespace fireflysail
{

namespace
{

void mask_signals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGHUP, SIGTERM, SIGINT})
    {
        sigaddset(&signals, number);
    }
    pthread_sigmask(how, &signals, nullptr);
}

} // namespace

void open_standard_streams()
{
    for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
    {
        if (::fcntl(stream, F_GETFD) < 0)
        {
            // Takes the lowest number that is free, which is this one.
            ::open("/dev/null", O_RDWR);
        }
    }
}

void ignore_write_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
}

void share_memory_pools()
{
    constexpr int pools = 2;
    mallopt(M_ARENA_MAX, pools);
}

void hold_signals()
{
    mask_signals(SIG_BLOCK);
}

void release_signals()
{
    mask_signals(SIG_UNBLOCK);
}

bool is_stop_held()
{
    sigset_t held;
    sigemptyset(&held);
    sigpending(&held);
    return sigismember(&held, SIGTERM) == 1 || sigismember(&held, SIGINT) == 1;
}

} // namespace fireflysail
