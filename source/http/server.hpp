#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace fireflysail
{

struct http_server_options
{
    /// Longest wait for the next byte of a request that has begun.
    std::chrono::milliseconds read_timeout{5'000};
    /// Longest wait for a receiver that takes no more bytes.
    std::chrono::milliseconds write_timeout{5'000};
    /// How long a connection may stay open between requests.
    std::chrono::milliseconds idle_timeout{120'000};
    std::size_t max_connections = 4'096;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
};

/// HTTP server with a thread for each request that runs; a connection between
/// requests waits in one epoll set and holds no thread.
class http_server final : public httplib::Server
{
public:
    explicit http_server(const http_server_options& options);
    ~http_server() override;

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds to the address (an IP number); false if it cannot. Port 0 takes
    /// any free port, see port().
    bool bind(const std::string& host, int port);

    /// Port that it is bound to.
    int port() const;

    /// Serves on a thread of its own until shut_down().
    void start();

    /// Takes no more connections, ends idle ones, waits for running requests.
    void shut_down();

    /// Number of connections open now.
    std::size_t connections() const;

    /// Number of requests being served now.
    std::size_t active_requests() const;

    /// Whether the caller of the request that this thread serves is still
    /// connected; true on a thread that serves none.
    static bool caller_connected();

private:
    class idle_connections;
    class request_threads;

    bool process_and_close_socket(socket_t socket) override;
    void serve(int socket);
    void close_connection(int socket);

    http_server_options options;
    std::unique_ptr<idle_connections> idle;
    request_threads* threads = nullptr;
    std::thread acceptor;
    std::atomic<std::size_t> open_connections{0};
    std::atomic<std::size_t> active{0};
    std::atomic<bool> stopping{false};
    int bound_port = 0;
};

} // namespace fireflysail
