#include "one_answer_server.hpp"

#include "common/invariant.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>

namespace fireflysail
{

namespace
{

constexpr std::string_view written = "HTTP/1.1 201 Created\r\n"
                                     "Content-Type: application/json\r\n"
                                     "Content-Length: 14\r\n\r\n"
                                     "{\"revision\":1}";

bool readable(int socket)
{
    constexpr int poll_ms = 20;
    pollfd wait{socket, POLLIN, 0};
    return poll(&wait, 1, poll_ms) > 0;
}

} // namespace

one_answer_server::one_answer_server(behaviour does)
    : does{does}
    , listener{socket(AF_INET, SOCK_STREAM, 0)}
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    ensure(bind(this->listener, generic, size) == 0, "test port bound");
    ensure(listen(this->listener, 8) == 0, "test port listens");
    getsockname(this->listener, generic, &size);
    this->bound_port = ntohs(address.sin_port);
    this->thread = std::thread{[this]()
                               {
                                   this->run();
                               }};
}

one_answer_server::~one_answer_server()
{
    this->stop();
    close(this->listener);
}

int one_answer_server::port() const
{
    return this->bound_port;
}

int one_answer_server::requests() const
{
    return this->request_count;
}

bool one_answer_server::cut_off() const
{
    return this->was_cut_off;
}

void one_answer_server::stop()
{
    this->stopping = true;
    if (this->thread.joinable())
    {
        this->thread.join();
    }
}

void one_answer_server::run()
{
    while (!this->stopping)
    {
        if (!readable(this->listener))
        {
            continue;
        }
        const int connection = accept(this->listener, nullptr, nullptr);
        this->serve(connection);
        close(connection);
    }
}

void one_answer_server::serve(int connection)
{
    std::string received;
    while (!this->stopping)
    {
        if (!readable(connection))
        {
            continue;
        }
        std::array<char, 4096> buffer{};
        const auto got = recv(connection, buffer.data(), buffer.size(), 0);
        if (got <= 0)
        {
            return;
        }
        received.append(buffer.data(), static_cast<std::size_t>(got));
        const auto end = received.find("\r\n\r\n");
        // Every body in these tests is one byte long.
        if (end == std::string::npos || received.size() < end + 5)
        {
            continue;
        }
        received.clear();
        this->request_count += 1;
        if (this->does == behaviour::trickle)
        {
            this->trickle(connection);
            return;
        }
        if (this->request_count > 1)
        {
            return;
        }
        send(connection, written.data(), written.size(), MSG_NOSIGNAL);
    }
}

void one_answer_server::trickle(int connection)
{
    constexpr std::string_view start = "HTTP/1.1 201 Created\r\nX-Long: ";
    send(connection, start.data(), start.size(), MSG_NOSIGNAL);
    while (!this->stopping)
    {
        if (readable(connection))
        {
            this->was_cut_off = true;
            return;
        }
        send(connection, "x", 1, MSG_NOSIGNAL);
    }
    // The client may have closed before the stop was seen.
    this->was_cut_off = readable(connection);
}

} // namespace fireflysail
