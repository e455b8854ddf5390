#include "relay/caller_connection.hpp"

#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace fireflysail
{

namespace
{

/// Bounds what of a request is held before it is parsed: a chunk's extensions
/// and the fields after the last chunk have no limit in the parser.
constexpr std::size_t most_buffered_bytes = 65536;

} // namespace

caller_connection::caller_connection(tcp::socket accepted)
    : socket{std::move(accepted)}
    , buffer{most_buffered_bytes}
{
}

caller_connection::~caller_connection()
{
    this->unwatch();
}

asio::awaitable<io_error> caller_connection::write(const http_response& answer)
{
    const auto [error, bytes] =
        co_await http::async_write(this->socket, answer, as_result);
    co_return error;
}

asio::awaitable<io_error> caller_connection::write_header(http_response& header)
{
    header.chunked(true);
    http::response_serializer<http::string_body> serializer{header};
    const auto [error, bytes] =
        co_await http::async_write_header(this->socket, serializer, as_result);
    co_return error;
}

asio::awaitable<io_error> caller_connection::write_first_chunk(
    http_response& header, std::string_view chunk)
{
    const io_error failed = co_await this->write_header(header);
    if (failed)
    {
        co_return failed;
    }
    co_return co_await this->write_chunk(chunk);
}

asio::awaitable<io_error> caller_connection::write_empty(http_response& header)
{
    const io_error failed = co_await this->write_header(header);
    if (failed)
    {
        co_return failed;
    }
    co_return co_await this->write_last_chunk();
}

asio::awaitable<io_error> caller_connection::write_chunk(std::string_view chunk)
{
    const auto [error, bytes] = co_await asio::async_write(
        this->socket,
        http::make_chunk(asio::const_buffer{chunk.data(), chunk.size()}),
        as_result);
    co_return error;
}

asio::awaitable<io_error> caller_connection::write_last_chunk()
{
    const auto [error, bytes] = co_await asio::async_write(
        this->socket, http::make_chunk_last(), as_result);
    co_return error;
}

void caller_connection::watch(std::function<void()> on_left)
{
    this->watching = std::make_shared<watcher>(std::move(on_left));
    this->socket.async_wait(
        tcp::socket::wait_read,
        [this, watched = this->watching](io_error error)
        {
            if (error || !watched->on_left)
            {
                return;
            }
            io_error failed;
            char byte = 0;
            ignore(this->socket.non_blocking(true, failed));
            const auto got = this->socket.receive(
                asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
            // The next request may come early: then the caller is there, and
            // its close is found when the request after it is read.
            if (failed == asio::error::would_block || (!failed && got > 0))
            {
                return;
            }
            this->left = true;
            watched->on_left();
        });
}

void caller_connection::unwatch()
{
    if (this->watching)
    {
        this->watching->on_left = nullptr;
        this->watching.reset();
        io_error ignored;
        ignore(this->socket.cancel(ignored));
    }
}

bool caller_connection::has_left() const
{
    return this->left;
}

void caller_connection::close()
{
    close_quietly(this->socket);
}

} // namespace fireflysail
