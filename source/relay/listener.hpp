#pragma once

#include "blackboard/fleet.hpp"
#include "relay/io.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace fireflysail
{

/// Accepts connections at one address. An address that cannot be bound is tried
/// again until it can: another process may hold the port for a moment, and the
/// address may come to the machine later than the process. Used on the thread
/// that runs the io_context, which must outlive what the listener started.
class listener
{
public:
    using taker = std::function<void(tcp::socket accepted)>;

    /// The name tells the listener from others in the log.
    listener(
        asio::io_context& io, std::string name, endpoint address, taker take);

    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// Binds the address before it returns, if that can be done now.
    void start();

    /// Accepts nothing any more, and no longer tries to.
    void close();

    bool is_listening() const;

    const std::string name;

private:
    /// Whether it listens from now on; logs the outcome.
    bool try_to_listen();
    io_error listen();
    asio::awaitable<void> run();
    asio::awaitable<void> accept();

    const endpoint address;
    const taker take;
    tcp::acceptor acceptor;
    asio::steady_timer pause;
    std::size_t failures = 0;
    bool closed = false;
};

} // namespace fireflysail
