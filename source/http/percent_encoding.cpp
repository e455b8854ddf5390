#include "http/percent_encoding.hpp"

#include <fmt/format.h>

namespace fireflysail
{

namespace
{

bool is_unreserved(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '.' || c == '_' || c == '~';
}

} // namespace

std::string percent_encode(std::string_view text)
{
    std::string encoded;
    for (const char c : text)
    {
        if (is_unreserved(c))
        {
            encoded += c;
        }
        else
        {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return encoded;
}

} // namespace fireflysail
