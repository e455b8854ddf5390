#include "http/answer_head.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

constexpr unsigned first_status = 100;

bool has_status_line(boost::beast::string_view text)
{
    return text.find("HTTP/1.") != boost::beast::string_view::npos;
}

/// Whether an answer that broke off in its head was followed by another one:
/// the status line of that one ends up in the reason or in a field.
bool is_spliced(const boost::beast::http::response_header<>& head)
{
    return has_status_line(head.reason()) ||
           std::ranges::any_of(
               head,
               [](const auto& field)
               {
                   return has_status_line(field.value());
               });
}

} // namespace

bool is_answer_head(const boost::beast::http::response_header<>& head)
{
    return head.result_int() >= first_status && !is_spliced(head);
}

} // namespace fireflysail
