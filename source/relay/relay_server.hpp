#pragma once

#include "relay/caller_session.hpp"
#include "relay/listener.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace fireflysail
{

/// Accepts callers, and answers the balancer and readers of metrics. All of it
/// runs on the thread that runs the io_context.
class relay_server
{
public:
    struct hooks
    {
        /// Whether the instance should get new connections.
        std::function<bool()> is_ready;
        /// Text of the metrics page.
        std::function<std::string()> metrics;
        /// Whether another instance is at the host.
        std::function<bool(const std::string& host)> is_peer_host;
    };

    relay_server(asio::io_context& io, relay_context& relay, hooks with);

    /// Begins to listen on every address of the node, or goes on trying to.
    void start();

    /// Whether callers can connect.
    bool accepts_callers() const;

    /// Names of the listeners, and which of them listen.
    std::vector<std::pair<std::string, bool>> listeners() const;

    /// Callers get no further request on their connections, and idle
    /// connections end; requests in progress go on.
    void begin_drain();

    /// Takes no new connection any more.
    void stop_accepting();

private:
    void take_caller(tcp::socket accepted, request_source source);
    void take_peer(tcp::socket accepted);
    asio::awaitable<void>
    serve_caller(tcp::socket accepted, request_source source);
    asio::awaitable<void> serve_probe(tcp::socket accepted);

    relay_context& relay;
    hooks with;
    listener callers;
    /// Requests that other instances pass on; none without an address.
    std::optional<listener> peers;
    /// Readiness and metrics.
    std::list<listener> probes;
    std::unordered_set<caller_session*> sessions;
};

} // namespace fireflysail
