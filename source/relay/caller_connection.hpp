#pragma once

#include "common/clock.hpp"
#include "relay/io.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fireflysail
{

using http_response = http::response<http::string_body>;

/// The caller's end of a request: writes its answer and tells when it left.
class caller_connection
{
public:
    explicit caller_connection(tcp::socket accepted);
    ~caller_connection();

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    tcp::socket socket;
    beast::flat_buffer buffer;

    asio::awaitable<io_error> write(const http_response& answer);

    /// Writes the header of an answer that goes on in chunks, with the first.
    asio::awaitable<io_error>
    write_first_chunk(http_response& header, std::string_view chunk);

    /// Writes an answer in chunks that has none.
    asio::awaitable<io_error> write_empty(http_response& header);

    asio::awaitable<io_error> write_chunk(std::string_view chunk);
    asio::awaitable<io_error> write_last_chunk();

    /// Calls back once if the caller closes its connection while its request
    /// is answered; until unwatch().
    void watch(std::function<void()> on_left);
    void unwatch();

    bool has_left() const;

    void close();

private:
    asio::awaitable<io_error> write_header(http_response& header);

    struct watcher
    {
        std::function<void()> on_left;
    };

    std::shared_ptr<watcher> watching;
    bool left = false;
};

} // namespace fireflysail
