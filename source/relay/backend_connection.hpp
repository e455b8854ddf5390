#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/strong_types.hpp"
#include "http/answer_head.hpp"
#include "relay/io.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <span>

namespace fireflysail
{

using http_request = http::request<http::string_body>;

using connection_number = strong_number<struct connection_number_tag>;

/// One connection to a backend server, with at most one request at a time.
class backend_connection
{
public:
    /// `number` tells the connections of a pool apart.
    backend_connection(
        const asio::any_io_executor& executor,
        endpoint address,
        connection_number number = {});

    const endpoint& address() const;

    connection_number number() const;

    asio::awaitable<io_error> open(duration limit);

    /// Sends while the answer may be read already: a server may answer before
    /// it has read a long body.
    void start_request(const std::shared_ptr<const http_request>& request);

    asio::awaitable<io_error> read_header();

    /// After an answer that belongs to an earlier request: expects the next one
    /// on the connection, which is not kept after that.
    void expect_next_answer();

    /// After an interim answer (1xx): expects the final one. False if there
    /// were too many.
    bool expect_final_answer();

    /// Valid after read_header().
    const http::response_header<>& header() const;

    /// The answer has no other end than that of the connection.
    bool ends_with_connection() const;

    struct body_part
    {
        std::size_t bytes = 0;
        io_error error;
        /// The whole answer was read, as its framing says.
        bool is_last = false;
    };

    /// Reads some of the body. Ends without error at the end of an answer
    /// that is framed by the end of its connection.
    asio::awaitable<body_part> read_body(std::span<char> into);

    /// Ends everything in progress with an error.
    void close();

    /// True when the last answer was whole, nothing came after it, and both
    /// sides let the connection live on.
    bool may_be_kept() const;

    /// True when the last answer may be one to an earlier request on this
    /// connection, its end is known, and that to the request in progress may
    /// follow it.
    bool may_expect_next_answer() const;

    /// True when an idle connection was closed or got unasked bytes.
    bool is_spoiled();

    time_point last_heard{};
    std::optional<duration> idle_limit;

private:
    using parser_type = http::response_parser<http::buffer_body>;

    /// The write of a request.
    struct request_write
    {
        bool is_done = false;
        io_error error;
    };

    void reset_parser();
    /// After the end of the connection was read: the error that ended it, if
    /// the other side did not close it in order.
    asio::awaitable<io_error> find_cause_of_end();
    /// The last answer was whole, and the connection lives on.
    bool is_whole() const;

    const endpoint where;
    const connection_number own_number;
    /// Kept by a write that goes on when this object is gone.
    std::shared_ptr<tcp::socket> socket;
    answer_buffer buffer;
    std::optional<parser_type> parser;
    /// Shared with the write in progress.
    std::shared_ptr<request_write> write;
    bool broken = false;
    /// The request in progress has no answer with a body.
    bool is_head = false;
    /// There was a request of this kind.
    bool had_head = false;
    /// Interim answers to the request in progress.
    std::size_t interim_answers = 0;
    /// Including the one in progress.
    std::size_t requests = 0;
    /// Answers to earlier requests that came late.
    std::size_t foreign_answers = 0;
};

} // namespace fireflysail
