#include "relay/message_codec.hpp"

#include <fmt/format.h>

#include <iterator>

namespace fireflysail
{

std::string name_of(std::span<const prompt_part> parts)
{
    std::string text;
    for (const prompt_part part : parts)
    {
        fmt::format_to(
            std::back_inserter(text),
            "{}{:016x}",
            text.empty() ? "" : ",",
            part.value());
    }
    return text;
}

} // namespace fireflysail
