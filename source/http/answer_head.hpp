#pragma once

#include <boost/beast/http/message.hpp>

namespace fireflysail
{

/// Whether the status line and the fields that the parser took make the head of
/// an answer.
bool is_answer_head(const boost::beast::http::response_header<>& head);

} // namespace fireflysail
