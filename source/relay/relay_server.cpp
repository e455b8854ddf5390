#include "relay/relay_server.hpp"

#include "common/log.hpp"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// A probe that sends nothing is dropped after this time.
constexpr duration probe_patience = 5s;

/// Descriptors for the store, listeners, files and idle connections to backend
/// servers; no more than this share where there are few.
constexpr std::uint32_t own_descriptors = 400;
constexpr std::uint32_t own_share_divisor = 4;

/// Each caller's request may need a connection to a backend server.
constexpr std::uint32_t descriptors_per_caller = 2;

std::size_t most_callers(std::uint32_t descriptors)
{
    const std::uint32_t own =
        std::min(own_descriptors, descriptors / own_share_divisor);
    return (descriptors - own) / descriptors_per_caller;
}

/// Largest part of a probe that is held before it is parsed.
constexpr std::size_t most_probe_bytes = 16384;

constexpr std::string_view metrics_path = "/metrics";

} // namespace

relay_server::relay_server(
    asio::io_context& io, relay_context& relay, hooks with)
    : relay{relay}
    , with{std::move(with)}
    , callers{
          io,
          "callers",
          relay.node.callers,
          [this](tcp::socket accepted)
          {
              this->take_caller(std::move(accepted), request_source::caller);
          }}
{
    if (relay.node.notices.port != 0)
    {
        this->peers.emplace(
            io,
            "peers",
            relay.node.notices,
            [this](tcp::socket accepted)
            {
                this->take_peer(std::move(accepted));
            });
    }
    const endpoint fixed{relay.node.callers.host, relay.node.metrics_port};
    std::vector<std::pair<std::string, endpoint>> places{
        {"readiness", relay.node.readiness}, {"control", relay.node.control}};
    // What answers there serves metrics anyhow.
    if (std::ranges::find(
            places, fixed, &std::pair<std::string, endpoint>::second) ==
        places.end())
    {
        places.emplace_back("metrics", fixed);
    }
    for (const auto& [name, address] : places)
    {
        if (address.port != 0)
        {
            this->probes.emplace_back(
                io,
                name,
                address,
                [this](tcp::socket accepted)
                {
                    spawn_guarded(
                        this->relay.executor,
                        "probe",
                        this->serve_probe(std::move(accepted)));
                });
        }
    }
}

void relay_server::start()
{
    this->callers.start();
    if (this->peers)
    {
        this->peers->start();
    }
    for (listener& probe : this->probes)
    {
        probe.start();
    }
}

bool relay_server::accepts_callers() const
{
    return this->callers.is_listening();
}

std::vector<std::pair<std::string, bool>> relay_server::listeners() const
{
    std::vector<std::pair<std::string, bool>> all{
        {this->callers.name, this->callers.is_listening()}};
    if (this->peers)
    {
        all.emplace_back(this->peers->name, this->peers->is_listening());
    }
    std::ranges::transform(
        this->probes,
        std::back_inserter(all),
        [](const listener& probe)
        {
            return std::pair{probe.name, probe.is_listening()};
        });
    return all;
}

void relay_server::begin_drain()
{
    this->relay.draining = true;
}

void relay_server::stop_accepting()
{
    this->callers.close();
    if (this->peers)
    {
        this->peers->close();
    }
    for (caller_session* session : this->sessions)
    {
        session->close_if_idle();
    }
}

void relay_server::take_peer(tcp::socket accepted)
{
    io_error failed;
    const auto sender = accepted.remote_endpoint(failed);
    if (failed || !this->with.is_peer_host(sender.address().to_string()))
    {
        close_quietly(accepted);
        return;
    }
    this->take_caller(std::move(accepted), request_source::peer);
}

void relay_server::take_caller(tcp::socket accepted, request_source source)
{
    if (this->relay.open_connections >=
        most_callers(this->relay.node.descriptors))
    {
        log::event(
            log::level::warning,
            log::channel::api,
            "connection_refused",
            {{"open_connections", this->relay.open_connections}});
        close_quietly(accepted);
        return;
    }
    spawn_guarded(
        this->relay.executor,
        "caller",
        this->serve_caller(std::move(accepted), source));
}

asio::awaitable<void>
relay_server::serve_caller(tcp::socket accepted, request_source source)
{
    caller_session session{this->relay, std::move(accepted), source};
    this->sessions.insert(&session);
    const absl::Cleanup forget = [this, &session]
    {
        this->sessions.erase(&session);
    };
    co_await session.run();
}

asio::awaitable<void> relay_server::serve_probe(tcp::socket accepted)
{
    tcp::socket socket = std::move(accepted);
    beast::flat_buffer buffer{most_probe_bytes};
    io_deadline patience{
        this->relay.executor,
        this->relay.time,
        [&socket]
        {
            close_quietly(socket);
        }};
    bool go_on = true;
    while (go_on)
    {
        http::request<http::string_body> request;
        patience.set(this->relay.time.now() + probe_patience);
        const auto [unread, read_bytes] =
            co_await http::async_read(socket, buffer, request, as_result);
        if (unread)
        {
            break;
        }
        const auto target = request.target();
        const std::string_view path{target.data(), target.size()};
        http_response answer{http::status::not_found, 11};
        if (path == this->relay.codec.readiness_path())
        {
            answer.result(
                this->with.is_ready() ? http::status::ok
                                      : http::status::service_unavailable);
        }
        else if (path == metrics_path)
        {
            answer.result(http::status::ok);
            answer.set(http::field::content_type, "text/plain");
            answer.body() = this->with.metrics();
        }
        answer.keep_alive(request.keep_alive());
        answer.prepare_payload();
        const auto [unwritten, written_bytes] =
            co_await http::async_write(socket, answer, as_result);
        go_on = !unwritten && request.keep_alive();
    }
}

} // namespace fireflysail
