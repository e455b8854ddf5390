#include "control/entry_kind.hpp"

#include "control/fleet_codec.hpp"
#include "control/marks_codec.hpp"

#include <utility>

namespace fireflysail
{

namespace
{

template <class Entry>
result<entry_object> to_entry_object(result<list_object<Entry>> decoded)
{
    if (!decoded)
    {
        return decoded.error();
    }
    auto& object = decoded.value();
    entry_object converted;
    if (object.entry)
    {
        converted.entry = to_json(*object.entry);
    }
    converted.last_edit = std::move(object.last_edit);
    converted.earlier_edits = std::move(object.earlier_edits);
    return converted;
}

} // namespace

std::string_view to_string(entry_kind kind)
{
    switch (kind)
    {
    case entry_kind::plan:
        return plan_kind;
    case entry_kind::entitlement:
        return entitlement_kind;
    case entry_kind::mark:
        break;
    }
    return mark_kind;
}

object_key key_of(entry_kind kind, const std::string& name)
{
    return {std::string{to_string(kind)}, name};
}

result<entry_object> decode_entry(
    entry_kind kind,
    const std::string& name,
    std::string_view value,
    revision version)
{
    switch (kind)
    {
    case entry_kind::plan:
        return to_entry_object(decode_plan(name, value, version));
    case entry_kind::entitlement:
        return to_entry_object(decode_entitlement(name, value, version));
    case entry_kind::mark:
        break;
    }
    return to_entry_object(decode_mark(value, version));
}

nlohmann::json parse_entry(
    entry_kind kind,
    const std::string& name,
    std::string_view document,
    std::vector<mistake>& mistakes)
{
    switch (kind)
    {
    case entry_kind::plan:
        return to_json(parse_plan(name, document, mistakes));
    case entry_kind::entitlement:
        return to_json(parse_entitlement(name, document, mistakes));
    case entry_kind::mark:
        break;
    }
    if (!is_identifier(name))
    {
        mistakes.push_back(
            {"name", "must be 1 to 128 characters of [A-Za-z0-9._-]"});
    }
    return to_json(parse_mark(document, mistakes));
}

} // namespace fireflysail
