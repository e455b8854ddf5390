#include "http/silence_limit.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fireflysail
{

namespace
{

/// Where the system refuses an option, the connection does without it.
void set_option(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void limit_silence(int socket, std::chrono::seconds limit)
{
    constexpr int probe_interval_s = 1;
    const auto seconds = static_cast<int>(limit.count());
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, seconds / probe_interval_s);
    constexpr int milliseconds_per_second = 1000;
    // Bounds the time for data; the probes alone do not.
    set_option(
        socket,
        IPPROTO_TCP,
        TCP_USER_TIMEOUT,
        seconds * milliseconds_per_second);
}

} // namespace fireflysail
