#include "control/marks_codec.hpp"

#include "common/error.hpp"
#include "control/fleet_codec.hpp"
#include "control/list_object_codec.hpp"

#include <limits>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_version = std::numeric_limits<std::uint64_t>::max();

server_mark read_mark(field_reader& fields)
{
    const auto mark = parse_server_mark(fields.string("mark"));
    if (!mark)
    {
        fields.report("mark", "must be joining, serving, leaving or stopping");
        return server_mark::serving;
    }
    return mark.value();
}

} // namespace

result<mark_object> decode_mark(std::string_view value, revision version)
{
    return decode_list_object<server_mark>(value, version, read_mark);
}

server_mark
parse_mark(std::string_view document, std::vector<mistake>& mistakes)
{
    const auto parsed = parse_object(document, mistakes);
    if (!parsed)
    {
        return server_mark::serving;
    }
    field_reader fields{*parsed, "", mistakes};
    const auto mark = read_mark(fields);
    fields.reject_unknown_fields();
    return mark;
}

json to_json(server_mark mark)
{
    return {{"mark", to_string(mark)}};
}

std::string encode(const std::vector<mark_record>& marks)
{
    auto document = json::object();
    for (const auto& record : marks)
    {
        document[record.server.str()] = {
            {"mark", to_string(record.mark)},
            {"version", record.version.value()}};
    }
    return document.dump();
}

result<std::vector<mark_record>> decode_marks(std::string_view text)
{
    std::vector<mistake> mistakes;
    const auto document = parse_object(text, mistakes);
    if (!document)
    {
        return errc::malformed;
    }
    std::vector<mark_record> marks;
    for (const auto& item : document->items())
    {
        if (!item.value().is_object())
        {
            return errc::malformed;
        }
        field_reader fields{item.value(), item.key(), mistakes};
        mark_record record;
        record.server = server_id{item.key()};
        record.mark = read_mark(fields);
        record.version =
            revision{fields.unsigned_integer("version", max_version)};
        marks.push_back(std::move(record));
    }
    if (!mistakes.empty())
    {
        return errc::malformed;
    }
    return marks;
}

} // namespace fireflysail
