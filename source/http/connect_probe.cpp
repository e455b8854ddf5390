#include "http/connect_probe.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace fireflysail
{

namespace
{

bool fill(sockaddr_storage& address, const std::string& host, int port)
{
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address);
    if (::inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1)
    {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(static_cast<std::uint16_t>(port));
        return true;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<std::uint16_t>(port));
    return ::inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1;
}

bool finish_connect(int socket, std::chrono::milliseconds timeout)
{
    pollfd waited{socket, POLLOUT, 0};
    if (::poll(&waited, 1, static_cast<int>(timeout.count())) <= 0)
    {
        return false;
    }
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == 0;
}

} // namespace

bool can_connect(
    const std::string& host, int port, std::chrono::milliseconds timeout)
{
    sockaddr_storage address{};
    if (!fill(address, host, port))
    {
        return false;
    }
    const int socket = ::socket(
        address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
    {
        return false;
    }
    const auto size = address.ss_family == AF_INET ? sizeof(sockaddr_in)
                                                   : sizeof(sockaddr_in6);
    const int begun = ::connect(
        socket,
        reinterpret_cast<const sockaddr*>(&address),
        static_cast<socklen_t>(size));
    const bool connected =
        begun == 0 || (errno == EINPROGRESS && finish_connect(socket, timeout));
    ::close(socket);
    return connected;
}

} // namespace fireflysail
