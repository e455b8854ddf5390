#include "http/socket_stream.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace fireflysail
{

namespace
{

constexpr std::size_t receive_buffer_bytes = 4096;

bool wait_for(int socket, short events, std::chrono::milliseconds timeout)
{
    pollfd waited{socket, events, 0};
    int ready = 0;
    do
    {
        ready = ::poll(&waited, 1, static_cast<int>(timeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

void read_address(const sockaddr_storage& address, std::string& ip, int& port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET)
    {
        sockaddr_in v4{};
        std::memcpy(&v4, &address, sizeof v4);
        ::inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    }
    else
    {
        sockaddr_in6 v6{};
        std::memcpy(&v6, &address, sizeof v6);
        ::inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

} // namespace

bool wait_readable(int socket, std::chrono::milliseconds timeout)
{
    return wait_for(socket, POLLIN, timeout);
}

socket_stream::socket_stream(
    int socket,
    std::chrono::milliseconds read_timeout,
    std::chrono::milliseconds write_timeout)
    : descriptor{socket}
    , read_timeout{read_timeout}
    , write_timeout{write_timeout}
    , buffer(receive_buffer_bytes)
{
}

bool socket_stream::is_readable() const
{
    return this->has_buffered() ||
           wait_readable(this->descriptor, this->read_timeout);
}

bool socket_stream::is_writable() const
{
    char next = 0;
    const auto peeked =
        ::recv(this->descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked == 0)
    {
        return false;
    }
    return peeked > 0 || errno == EAGAIN || errno == EWOULDBLOCK;
}

ssize_t socket_stream::read(char* data, size_t size)
{
    if (!this->has_buffered())
    {
        if (!wait_readable(this->descriptor, this->read_timeout))
        {
            return -1;
        }
        const auto received = ::recv(
            this->descriptor, this->buffer.data(), this->buffer.size(), 0);
        if (received <= 0)
        {
            return received;
        }
        this->buffer_begin = 0;
        this->buffer_end = static_cast<std::size_t>(received);
    }
    const auto count = std::min(size, this->buffer_end - this->buffer_begin);
    std::memcpy(data, this->buffer.data() + this->buffer_begin, count);
    this->buffer_begin += count;
    return static_cast<ssize_t>(count);
}

ssize_t socket_stream::write(const char* data, size_t size)
{
    // Tried before waiting: the socket's buffer nearly always has room, and a
    // stream of tokens would pay for a poll with each of them.
    const auto sent =
        ::send(this->descriptor, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
    {
        return sent;
    }
    if (!wait_for(this->descriptor, POLLOUT, this->write_timeout))
    {
        return -1;
    }
    return ::send(this->descriptor, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    if (::getpeername(
            this->descriptor, reinterpret_cast<sockaddr*>(&address), &length) ==
        0)
    {
        read_address(address, ip, port);
    }
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    if (::getsockname(
            this->descriptor, reinterpret_cast<sockaddr*>(&address), &length) ==
        0)
    {
        read_address(address, ip, port);
    }
}

int socket_stream::socket() const
{
    return this->descriptor;
}

bool socket_stream::has_buffered() const
{
    return this->buffer_begin < this->buffer_end;
}

} // namespace fireflysail
