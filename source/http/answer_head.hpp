#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>

#include <cstddef>

namespace fireflysail
{

/// Whether the status line and the fields that the parser took make the head of
/// an answer.
bool is_answer_head(const boost::beast::http::response_header<>& head);

/// Buffer through which the answers of a connection are read.
class answer_buffer : public boost::beast::flat_buffer
{
public:
    using boost::beast::flat_buffer::flat_buffer;

    /// To be called before a head is read.
    void begin_head();

    /// To be called once it was read: whether one of its lines was folded.
    bool end_head();

    /// Called by the read operation, with whole fields while it reads a head.
    void consume(std::size_t bytes);

private:
    bool reads_head = false;
    bool has_folded_line = false;
};

} // namespace fireflysail
