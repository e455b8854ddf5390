#include "control/entry_reader.hpp"

#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr auto read_timeout = std::chrono::seconds{2};

} // namespace

nlohmann::json render_entry(entry_kind kind, const stored_object& object)
{
    json rendered{
        {"kind", to_string(kind)},
        {"name", object.key.name},
        {"version", object.version.value()}};
    const auto decoded =
        decode_entry(kind, object.key.name, object.value, object.version);
    if (!decoded)
    {
        rendered["malformed"] = true;
        return rendered;
    }
    const auto& entry = decoded.value();
    rendered["entry"] = entry.entry ? *entry.entry : json{};
    if (!entry.last_edit.id.empty())
    {
        rendered["last_edit"] = to_json(entry.last_edit);
    }
    return rendered;
}

entry_reader::entry_reader(store& objects, const clock& time)
    : objects{objects}
    , time{time}
    , trail{objects}
{
}

result<std::string> entry_reader::get(entry_kind kind, const std::string& name)
{
    const auto object =
        this->objects.get(key_of(kind, name), this->time.now() + read_timeout);
    if (!object)
    {
        return object.error();
    }
    return render_entry(kind, object.value()).dump();
}

result<std::string> entry_reader::list(entry_kind kind)
{
    const auto snapshot = this->objects.list(
        {std::string{to_string(kind)}}, this->time.now() + read_timeout);
    if (!snapshot)
    {
        return snapshot.error();
    }
    auto entries = json::array();
    for (const auto& object : snapshot.value().objects)
    {
        auto rendered = render_entry(kind, object);
        const bool is_removed =
            rendered.contains("entry") && rendered["entry"].is_null();
        if (!is_removed)
        {
            entries.push_back(std::move(rendered));
        }
    }
    return json{
        {"version", snapshot.value().version.value()},
        {"entries", std::move(entries)}}
        .dump();
}

result<std::string>
entry_reader::history(entry_kind kind, const std::string& name)
{
    const auto object =
        this->objects.get(key_of(kind, name), this->time.now() + read_timeout);
    if (!object)
    {
        return object.error();
    }
    const auto decoded =
        decode_entry(kind, name, object.value().value, object.value().version);
    if (!decoded)
    {
        return decoded.error();
    }
    auto records = json::array();
    for (const auto& record : decoded.value().earlier_edits)
    {
        records.push_back(to_json(record));
    }
    if (!decoded.value().last_edit.id.empty())
    {
        records.push_back(to_json(decoded.value().last_edit));
    }
    return records.dump();
}

result<std::string> entry_reader::audit()
{
    return this->trail.list(this->time.now() + read_timeout);
}

} // namespace fireflysail
