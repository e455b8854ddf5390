#include "backend/event_stream.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace fireflysail
{

namespace
{

constexpr std::string_view data_prefix = "data:";
constexpr std::string_view id_prefix = "id:";
constexpr std::string_view separator = "\n\n";

std::optional<std::uint64_t> id_of(std::string_view event)
{
    for (std::size_t line = 0; line < event.size();)
    {
        const auto end = std::min(event.find('\n', line), event.size());
        std::string_view field = event.substr(line, end - line);
        line = end + 1;
        if (!field.starts_with(id_prefix))
        {
            continue;
        }
        field.remove_prefix(id_prefix.size());
        if (field.starts_with(' '))
        {
            field.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const bool whole = absl::SimpleAtoi(
            absl::string_view{field.data(), field.size()}, &id);
        return whole ? std::optional{id} : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

bool event_stream::append(std::string_view bytes)
{
    if (this->consumed == this->buffered.size())
    {
        this->buffered.clear();
        this->consumed = 0;
    }
    this->buffered.append(bytes);
    return this->buffered.size() - this->consumed <= max_event_bytes;
}

std::optional<raw_event> event_stream::next_raw()
{
    const auto end = this->buffered.find(separator, this->consumed);
    if (end == std::string::npos)
    {
        this->buffered.erase(0, this->consumed);
        this->consumed = 0;
        return std::nullopt;
    }
    const auto size = end + separator.size() - this->consumed;
    raw_event event;
    event.text = std::string_view{this->buffered}.substr(this->consumed, size);
    event.id = id_of(event.text);
    this->consumed += size;
    return event;
}

bool event_stream::has_partial() const
{
    return this->consumed < this->buffered.size();
}

bool event_stream::next(std::string& payload)
{
    while (const auto event = this->next_raw())
    {
        std::string_view text = event->text;
        text.remove_suffix(separator.size());
        if (!text.starts_with(data_prefix))
        {
            continue;
        }
        text.remove_prefix(data_prefix.size());
        if (text.starts_with(' '))
        {
            text.remove_prefix(1);
        }
        payload.assign(text);
        return true;
    }
    return false;
}

} // namespace fireflysail
