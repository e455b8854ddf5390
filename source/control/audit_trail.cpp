#include "control/audit_trail.hpp"

#include "common/error.hpp"
#include "common/json_text.hpp"

#include <fmt/format.h>

#include <utility>

namespace fireflysail
{

namespace
{

object_key
audit_key(entry_kind kind, const std::string& name, const edit_id& id)
{
    return {
        audit_kind, fmt::format("{}~{}~{}", to_string(kind), name, id.str())};
}

} // namespace

audit_trail::audit_trail(store& objects)
    : objects{objects}
{
}

bool audit_trail::append(
    entry_kind kind,
    const std::string& name,
    const edit_record& record,
    time_point deadline)
{
    auto value = to_json(record);
    value["kind"] = to_string(kind);
    value["name"] = name;
    const auto created = this->objects.create(
        audit_key(kind, name, record.id), value.dump(), deadline);
    return created || created.error() == errc::conflict;
}

result<std::optional<revision>> audit_trail::find(
    entry_kind kind,
    const std::string& name,
    const edit_id& id,
    time_point deadline)
{
    const auto object = this->objects.get(audit_key(kind, name, id), deadline);
    if (!object)
    {
        if (object.error() == errc::not_found)
        {
            return std::optional<revision>{};
        }
        return object.error();
    }
    const auto record = decode_edit_record(parse_json(object.value().value));
    if (!record)
    {
        return record.error();
    }
    return std::optional{record.value().version};
}

result<std::string> audit_trail::list(time_point deadline)
{
    const auto snapshot = this->objects.list({audit_kind}, deadline);
    if (!snapshot)
    {
        return snapshot.error();
    }
    auto records = nlohmann::json::array();
    for (const auto& object : snapshot.value().objects)
    {
        auto record = parse_json(object.value);
        if (record.is_object())
        {
            records.push_back(std::move(record));
        }
    }
    return records.dump();
}

} // namespace fireflysail
