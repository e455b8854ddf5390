#include "control/lists_transfer.hpp"

#include "common/error.hpp"
#include "control/lists_codec.hpp"

#include <limits>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_version = std::numeric_limits<std::uint64_t>::max();

template <class Entry>
json write_table(const object_table<Entry>& table)
{
    auto document = json::object();
    for (const auto& [name, slot] : table.all())
    {
        json item{{"version", slot.version.value()}};
        if (slot.value)
        {
            item["entry"] = to_json(*slot.value);
        }
        if (slot.rejected)
        {
            item["rejected"] = slot.rejected->value();
        }
        document[name] = std::move(item);
    }
    return document;
}

/// Reads one table slot; `decode` builds a list object from a name, a document
/// and a version. Returns false if the item is malformed.
template <class Entry, class Decode>
bool read_item(
    object_table<Entry>& table,
    const std::string& name,
    const json& item,
    const Decode& decode)
{
    if (!item.is_object())
    {
        return false;
    }
    std::vector<mistake> mistakes;
    field_reader fields{item, name, mistakes};
    const revision version{fields.unsigned_integer("version", max_version)};
    if (fields.has("entry"))
    {
        const auto object =
            decode(name, fields.child("entry")->dump(), version);
        if (!object || !object.value().entry)
        {
            return false;
        }
        table.write(name, *object.value().entry, version);
    }
    if (fields.has("rejected"))
    {
        table.reject(
            name, revision{fields.unsigned_integer("rejected", max_version)});
    }
    return mistakes.empty();
}

template <class Entry, class Decode>
bool read_table(
    object_table<Entry>& table,
    const json& document,
    std::string_view list,
    const Decode& decode)
{
    const auto items = document.find(list);
    if (items == document.end() || !items->is_object())
    {
        return false;
    }
    for (const auto& item : items->items())
    {
        if (!read_item(table, item.key(), item.value(), decode))
        {
            return false;
        }
    }
    return true;
}

} // namespace

std::string encode(const lists_transfer& lists)
{
    return json{
        {"applied", lists.applied.value()},
        {"plans", write_table(lists.plans)},
        {"entitlements", write_table(lists.entitlements)}}
        .dump();
}

result<lists_transfer> decode_lists_transfer(std::string_view document)
{
    std::vector<mistake> mistakes;
    const auto parsed = parse_object(document, mistakes);
    if (!parsed)
    {
        return errc::malformed;
    }
    lists_transfer lists;
    lists.applied =
        revision{field_reader{*parsed, "", mistakes}.unsigned_integer(
            "applied", max_version)};
    const bool is_valid =
        read_table(lists.plans, *parsed, "plans", decode_plan) &&
        read_table(
            lists.entitlements, *parsed, "entitlements", decode_entitlement);
    if (!is_valid || !mistakes.empty())
    {
        return errc::malformed;
    }
    return lists;
}

} // namespace fireflysail
