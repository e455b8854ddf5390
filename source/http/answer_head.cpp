#include "http/answer_head.hpp"

#include <algorithm>
#include <string_view>

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

void answer_buffer::begin_head()
{
    this->reads_head = true;
    this->has_folded_line = false;
}

bool answer_buffer::end_head()
{
    this->reads_head = false;
    return this->has_folded_line;
}

void answer_buffer::consume(std::size_t bytes)
{
    if (this->reads_head)
    {
        const auto data = this->cdata();
        const std::string_view lines{
            static_cast<const char*>(data.data()),
            std::min(bytes, data.size())};
        this->has_folded_line = this->has_folded_line ||
                                lines.find("\n ") != std::string_view::npos ||
                                lines.find("\n\t") != std::string_view::npos;
    }
    boost::beast::flat_buffer::consume(bytes);
}

} // namespace fireflysail
