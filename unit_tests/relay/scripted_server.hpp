#pragma once

#include "blackboard/fleet.hpp"
#include "relay/backend_connection.hpp"
#include "relay/io.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <vector>

namespace fireflysail
{

/// What a scripted server does with one request.
struct scripted_answer
{
    /// Bytes as they are sent; the word ID stands for the request's attempt.
    std::string bytes;
    /// The connection ends after the bytes.
    bool closes = false;
    /// The bytes are sent, and then nothing for good.
    bool hangs = false;
    /// Sent one by one after the bytes.
    std::vector<std::string> pieces = {};
    /// Sent again and again after that, until the connection ends.
    std::string endless = {};
    /// Pause before each piece, the crash and the end of the connection.
    duration pause{};
    /// The server ends with all its connections after the bytes.
    bool crashes = false;
    /// A connection that closes is reset.
    bool resets = false;
    /// Nothing is sent before this holds.
    std::function<bool()> may_begin = {};
    /// Shuts down its sending side after the bytes, and reads on until the
    /// other side has closed.
    bool half_closes = false;
};

/// A backend server on loopback that answers by a script, in the io_context of
/// the test.
class scripted_server
{
public:
    using script =
        std::function<scripted_answer(std::size_t, const http_request&)>;

    /// `answers` is asked with the number of the request, from 0.
    scripted_server(asio::io_context& io, script answers);

    endpoint address() const;

    /// Accepts no further connection, and cuts those there are.
    void stop();

    std::size_t open_connections() const;

    /// Answers as soon as the header of a request was read. The body is read
    /// after the answer, unless that ends the connection.
    bool answers_early = false;

    std::vector<http_request> received;

    /// Connections accepted so far.
    std::size_t accepted = 0;

    /// Bytes sent of endless answers.
    std::size_t endless_bytes = 0;

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket accepted);
    asio::awaitable<io_error> read_request(
        tcp::socket& socket,
        beast::flat_buffer& buffer,
        http::request_parser<http::string_body>& parser) const;
    /// False once the connection ended.
    asio::awaitable<bool>
    send_slowly(tcp::socket& socket, const scripted_answer& answer);

    asio::io_context& io;
    script answers;
    tcp::acceptor acceptor;
    std::vector<tcp::socket*> open;
};

/// A whole answer with a body, stamped by the server.
scripted_answer whole_answer(int status, const std::string& body);

/// States that the request did not run.
scripted_answer refusal(const std::string& more_fields = {});

/// Events with these ids; `ends` tells whether the stream is finished.
scripted_answer events(int first, int last, bool ends);

} // namespace fireflysail
