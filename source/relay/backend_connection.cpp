#include "relay/backend_connection.hpp"

#include "http/local_port.hpp"
#include "http/silence_limit.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

/// Largest header of an answer that is taken.
constexpr std::uint32_t most_header_bytes = 65536;

/// Largest read from the socket at once; bounds the buffer of a connection.
constexpr std::size_t most_read_bytes = 16384;

/// Interim answers to one request that are read past.
constexpr std::size_t most_interim_answers = 8;

} // namespace

backend_connection::backend_connection(
    const asio::any_io_executor& executor,
    endpoint address,
    connection_number number)
    : where{std::move(address)}
    , own_number{number}
    , socket{std::make_shared<tcp::socket>(executor)}
    , buffer{most_header_bytes + most_read_bytes}
{
}

const endpoint& backend_connection::address() const
{
    return this->where;
}

connection_number backend_connection::number() const
{
    return this->own_number;
}

asio::awaitable<io_error> backend_connection::open(duration limit)
{
    io_error failed;
    const auto ip = asio::ip::make_address(this->where.host, failed);
    if (failed)
    {
        co_return failed;
    }
    asio::steady_timer timer{this->socket->get_executor()};
    timer.expires_after(limit);
    timer.async_wait(
        [this](io_error error)
        {
            if (!error)
            {
                close_quietly(*this->socket);
            }
        });
    const auto [error] = co_await this->socket->async_connect(
        {ip, static_cast<unsigned short>(this->where.port)}, as_result);
    if (timer.cancel() == 0)
    {
        // The time was up: its handler has run or is about to.
        co_await asio::post(this->socket->get_executor(), asio::use_awaitable);
        co_return asio::error::timed_out;
    }
    if (!error)
    {
        io_error ignored;
        ignore(this->socket->set_option(tcp::no_delay{true}, ignored));
        limit_silence(this->socket->native_handle());
        share_local_port(this->socket->native_handle());
    }
    co_return error;
}

void backend_connection::start_request(
    const std::shared_ptr<const http_request>& request)
{
    ++this->requests;
    this->is_head = request->method() == http::verb::head;
    this->had_head = this->had_head || this->is_head;
    this->interim_answers = 0;
    this->reset_parser();
    this->write = std::make_shared<request_write>();
    http::async_write(
        *this->socket,
        *request,
        [request, kept = this->socket, write = this->write](
            io_error error, std::size_t)
        {
            *write = {true, error};
        });
}

void backend_connection::reset_parser()
{
    this->parser.emplace();
    this->parser->body_limit(boost::none);
    this->parser->header_limit(most_header_bytes);
    this->parser->skip(this->is_head);
}

void backend_connection::expect_next_answer()
{
    ++this->foreign_answers;
    this->reset_parser();
}

bool backend_connection::expect_final_answer()
{
    if (++this->interim_answers > most_interim_answers)
    {
        return false;
    }
    this->reset_parser();
    return true;
}

asio::awaitable<io_error> backend_connection::read_header()
{
    this->buffer.begin_head();
    auto [error, bytes] = co_await http::async_read_header(
        *this->socket, this->buffer, *this->parser, as_result);
    // The parser joins a line that begins with a blank to the field before,
    // although it may be a field whose name begins with one. RFC 9112, 5.2 lets
    // a gateway discard such an answer.
    const bool is_folded = this->buffer.end_head();
    if (!error && (is_folded || !is_answer_head(this->header())))
    {
        error = http::error::bad_value;
    }
    this->broken = static_cast<bool>(error);
    co_return error;
}

const http::response_header<>& backend_connection::header() const
{
    return this->parser->get().base();
}

bool backend_connection::ends_with_connection() const
{
    return this->parser->need_eof();
}

asio::awaitable<backend_connection::body_part>
backend_connection::read_body(std::span<char> into)
{
    body_part part;
    if (this->parser->is_done())
    {
        part.is_last = true;
        co_return part;
    }
    auto& body = this->parser->get().body();
    body.data = into.data();
    body.size = into.size();
    body.more = true;
    auto [error, bytes] = co_await http::async_read_some(
        *this->socket, this->buffer, *this->parser, as_result);
    part.bytes = into.size() - body.size;
    if (!error && this->parser->is_done() && this->ends_with_connection())
    {
        error = co_await this->find_cause_of_end();
    }
    if (error && error != http::error::need_buffer)
    {
        part.error = error;
        this->broken = true;
    }
    part.is_last = this->parser->is_done() && !part.error;
    co_return part;
}

// The system reports the error of a connection once, to whichever of read and
// write comes first. If that is the write, the read sees the end of the
// connection as if the other side had closed it.
asio::awaitable<io_error> backend_connection::find_cause_of_end()
{
    // The write may have failed without its handler having run yet.
    co_await asio::post(this->socket->get_executor(), asio::use_awaitable);
    // A write reports a broken pipe where the end was received before a reset.
    const io_error failed = this->write->error;
    co_return failed == asio::error::broken_pipe ? io_error{} : failed;
}

void backend_connection::close()
{
    this->broken = true;
    close_quietly(*this->socket);
}

bool backend_connection::may_be_kept() const
{
    return this->is_whole() && this->foreign_answers == 0 &&
           this->write->is_done && !this->write->error &&
           this->buffer.size() == 0;
}

bool backend_connection::may_expect_next_answer() const
{
    // The end of an answer depends on the method that it answers.
    return this->is_whole() && !this->had_head &&
           this->foreign_answers + 1 < this->requests;
}

bool backend_connection::is_whole() const
{
    return !this->broken && this->parser && this->parser->is_done() &&
           this->parser->keep_alive();
}

bool backend_connection::is_spoiled()
{
    return !this->socket->is_open() || has_pending_input(*this->socket);
}

} // namespace fireflysail
