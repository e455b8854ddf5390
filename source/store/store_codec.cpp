#include "store/store_codec.hpp"

#include "common/json_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

bool is_unreserved(char letter)
{
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
           letter == '.' || letter == '~';
}

std::optional<std::string> text_at(const json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_string())
    {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<revision> revision_at(const json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_number_unsigned())
    {
        return std::nullopt;
    }
    return revision{found->get<std::uint64_t>()};
}

std::optional<stored_object> object_from(const json& from)
{
    if (!from.is_object())
    {
        return std::nullopt;
    }
    auto kind = text_at(from, "kind");
    auto name = text_at(from, "name");
    auto value = text_at(from, "value");
    const auto version = revision_at(from, "revision");
    if (!kind || !name || !value || !version)
    {
        return std::nullopt;
    }
    return stored_object{
        {std::move(*kind), std::move(*name)}, std::move(*value), *version};
}

std::optional<store_event> event_from(const json& from)
{
    auto object = object_from(from);
    const auto change = object ? text_at(from, "change") : std::nullopt;
    if (!change)
    {
        return std::nullopt;
    }
    if (*change == "written")
    {
        return store_event{store_event::change::written, std::move(*object)};
    }
    if (*change == "removed")
    {
        return store_event{store_event::change::removed, std::move(*object)};
    }
    return std::nullopt;
}

} // namespace

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char letter : text)
    {
        if (is_unreserved(letter))
        {
            encoded += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded += '%';
        encoded += digits[byte / 16];
        encoded += digits[byte % 16];
    }
    return encoded;
}

result<stored_object> parse_object(std::string_view body)
{
    auto object = object_from(parse_json(body));
    if (!object)
    {
        return errc::malformed;
    }
    return std::move(*object);
}

result<store_snapshot> parse_snapshot(std::string_view body)
{
    const json parsed = parse_json(body);
    const auto version =
        parsed.is_object() ? revision_at(parsed, "revision") : std::nullopt;
    if (!version || !parsed.contains("objects") ||
        !parsed["objects"].is_array())
    {
        return errc::malformed;
    }
    store_snapshot snapshot;
    snapshot.version = *version;
    for (const json& one : parsed["objects"])
    {
        auto object = object_from(one);
        if (!object || object->version > *version)
        {
            return errc::malformed;
        }
        snapshot.objects.push_back(std::move(*object));
    }
    return snapshot;
}

result<watch_batch> parse_watch_batch(std::string_view body)
{
    const json parsed = parse_json(body);
    const auto next =
        parsed.is_object() ? revision_at(parsed, "next") : std::nullopt;
    if (!next || !parsed.contains("events") || !parsed["events"].is_array())
    {
        return errc::malformed;
    }
    watch_batch batch;
    batch.next = *next;
    for (const json& one : parsed["events"])
    {
        auto event = event_from(one);
        if (!event || event->object.version > *next)
        {
            return errc::malformed;
        }
        batch.events.push_back(std::move(*event));
    }
    const auto version = [](const store_event& event)
    {
        return event.object.version;
    };
    if (!std::ranges::is_sorted(batch.events, {}, version))
    {
        return errc::malformed;
    }
    return batch;
}

result<revision> parse_written(std::string_view body)
{
    const json parsed = parse_json(body);
    const auto version =
        parsed.is_object() ? revision_at(parsed, "revision") : std::nullopt;
    if (!version)
    {
        return errc::malformed;
    }
    return *version;
}

bool says_unavailable(std::string_view body)
{
    const json parsed = parse_json(body);
    return parsed.is_object() && text_at(parsed, "error") == "unavailable";
}

} // namespace fireflysail
