#include "relay/scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <array>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr std::string_view stamped_fields =
    "X-Fireflysail-Attempt-Id: ID\r\nX-Fireflysail-Server-Stamp: stamp\r\n";

std::string with_attempt(std::string bytes, const http_request& request)
{
    const auto id = request["X-Fireflysail-Attempt-Id"];
    const auto at = bytes.find("ID\r\n");
    if (at != std::string::npos)
    {
        bytes.replace(at, 2, std::string{id.data(), id.size()});
    }
    return bytes;
}

asio::awaitable<void> read_until_closed(tcp::socket& socket)
{
    io_error error;
    ignore(socket.shutdown(tcp::socket::shutdown_send, error));
    std::array<char, 8192> discarded{};
    while (!error)
    {
        const auto [failed, count] =
            co_await socket.async_read_some(asio::buffer(discarded), as_result);
        error = failed;
    }
}

} // namespace

scripted_server::scripted_server(asio::io_context& io, script answers)
    : io{io}
    , answers{std::move(answers)}
    , acceptor{io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}}
{
    asio::co_spawn(io, this->accept(), asio::detached);
}

endpoint scripted_server::address() const
{
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
}

std::size_t scripted_server::open_connections() const
{
    return this->open.size();
}

void scripted_server::stop()
{
    io_error ignored;
    ignore(this->acceptor.close(ignored));
    for (tcp::socket* socket : this->open)
    {
        close_quietly(*socket);
    }
}

asio::awaitable<void> scripted_server::accept()
{
    while (true)
    {
        auto [error, accepted] =
            co_await this->acceptor.async_accept(as_result);
        if (error)
        {
            co_return;
        }
        asio::co_spawn(
            this->io, this->serve(std::move(accepted)), asio::detached);
    }
}

asio::awaitable<void> scripted_server::serve(tcp::socket accepted)
{
    tcp::socket socket = std::move(accepted);
    this->open.push_back(&socket);
    ++this->accepted;
    beast::flat_buffer buffer;
    while (true)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        const auto unread = co_await this->read_request(socket, buffer, parser);
        if (unread)
        {
            break;
        }
        const http_request request = parser.get();
        const auto number = this->received.size();
        this->received.push_back(request);
        const scripted_answer answer = this->answers(number, request);
        const std::string bytes = with_attempt(answer.bytes, request);
        asio::steady_timer poll{this->io};
        while (answer.may_begin && !answer.may_begin())
        {
            co_await pause_for(poll, std::chrono::milliseconds{1});
        }
        const auto [unwritten, written_bytes] =
            co_await asio::async_write(socket, asio::buffer(bytes), as_result);
        if (unwritten || answer.closes)
        {
            co_await pause_for(poll, answer.pause);
            if (answer.resets)
            {
                io_error ignored;
                ignore(socket.set_option(
                    asio::socket_base::linger{true, 0}, ignored));
                close_quietly(socket);
            }
            break;
        }
        if (answer.half_closes)
        {
            co_await read_until_closed(socket);
            break;
        }
        const bool goes_on = co_await this->send_slowly(socket, answer);
        if (!goes_on)
        {
            break;
        }
        if (!parser.is_done())
        {
            const auto [cut, rest] =
                co_await http::async_read(socket, buffer, parser, as_result);
            if (cut)
            {
                break;
            }
        }
    }
    std::erase(this->open, &socket);
}

asio::awaitable<io_error> scripted_server::read_request(
    tcp::socket& socket,
    beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser) const
{
    if (this->answers_early)
    {
        const auto [error, bytes] =
            co_await http::async_read_header(socket, buffer, parser, as_result);
        co_return error;
    }
    const auto [error, bytes] =
        co_await http::async_read(socket, buffer, parser, as_result);
    co_return error;
}

asio::awaitable<bool>
scripted_server::send_slowly(tcp::socket& socket, const scripted_answer& answer)
{
    asio::steady_timer timer{this->io};
    if (answer.crashes)
    {
        co_await pause_for(timer, answer.pause);
        this->stop();
        co_return false;
    }
    for (const std::string& piece : answer.pieces)
    {
        co_await pause_for(timer, answer.pause);
        const auto [unwritten, written_bytes] =
            co_await asio::async_write(socket, asio::buffer(piece), as_result);
        if (unwritten)
        {
            co_return false;
        }
    }
    while (!answer.endless.empty())
    {
        co_await pause_for(timer, answer.pause);
        const auto [unwritten, written_bytes] = co_await asio::async_write(
            socket, asio::buffer(answer.endless), as_result);
        if (unwritten)
        {
            co_return false;
        }
        this->endless_bytes += written_bytes;
    }
    co_return true;
}

scripted_answer whole_answer(int status, const std::string& body)
{
    return {fmt::format(
        "HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}",
        status,
        stamped_fields,
        body.size(),
        body)};
}

scripted_answer refusal(const std::string& more_fields)
{
    return {
        "HTTP/1.1 503 X\r\nX-Fireflysail-Attempt-Id: ID\r\n"
        "X-Fireflysail-Not-Executed: 1\r\n" +
        more_fields + "Content-Length: 0\r\n\r\n"};
}

scripted_answer events(int first, int last, bool ends)
{
    std::string bytes = fmt::format(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        stamped_fields);
    for (int id = first; id <= last; ++id)
    {
        const std::string event = fmt::format("id: {}\ndata: x\n\n", id);
        bytes += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    }
    if (ends)
    {
        bytes += "0\r\n\r\n";
    }
    return {bytes, !ends, false};
}

} // namespace fireflysail
