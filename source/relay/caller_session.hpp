#pragma once

#include "relay/exchange.hpp"

#include <memory>

namespace fireflysail
{

/// Who sends the requests of a connection.
enum class request_source
{
    caller,
    /// Another instance, which passes on those of its callers.
    peer,
};

/// Serves the requests of one caller's connection, one after the other, until
/// either side ends it.
class caller_session
{
public:
    caller_session(
        relay_context& relay,
        tcp::socket accepted,
        request_source source = request_source::caller);
    ~caller_session();

    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    asio::awaitable<void> run();

    /// Ends the connection if no request is being read or served.
    void close_if_idle();

private:
    enum class read_end
    {
        request,
        /// Not a request, or too large: answered, and the connection ends.
        rejected,
        closed,
    };

    asio::awaitable<read_end> read_request(exchange& next);
    /// Answers a request that was not read to its end.
    asio::awaitable<void> reject(
        exchange& next,
        const http_fields& header,
        own_answer why,
        const std::string& error);
    /// Reads, for a bounded time, what a refused caller still sends.
    asio::awaitable<void> discard_input();
    asio::awaitable<void> serve(exchange& next);
    /// Sends it to the backend servers of this instance.
    asio::awaitable<void> serve_here(exchange& next);
    std::optional<own_answer> admit(exchange& next);

    /// Whether its content crashes backend servers.
    bool is_held_back(exchange& next);
    void log_end(const exchange& served) const;

    relay_context& relay;
    const request_source source;
    caller_connection caller;
    io_deadline patience;
    bool is_idle = true;
};

} // namespace fireflysail
