#include "control/lists_codec.hpp"

#include "common/error.hpp"
#include "control/list_object_codec.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_uint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t max_concurrency = 1'000'000;
constexpr std::uint64_t max_weight = 1'000;
constexpr std::size_t digest_length = 64;

constexpr std::array<std::pair<request_class, std::string_view>, 3> classes{
    {{request_class::interactive, "interactive"},
     {request_class::standard, "standard"},
     {request_class::batch, "batch"}}};

std::string_view class_name(request_class value)
{
    return std::ranges::find(
               classes, value, &decltype(classes)::value_type::first)
        ->second;
}

request_class read_class(field_reader& fields, std::string_view name)
{
    const auto text = fields.string(name);
    const auto known = std::ranges::find(
        classes, text, &decltype(classes)::value_type::second);
    if (known == classes.end())
    {
        fields.report(name, "must be interactive, standard or batch");
        return request_class::standard;
    }
    return known->first;
}

bool is_digest(std::string_view text)
{
    const auto is_hexadecimal = [](char c)
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == digest_length &&
           std::ranges::all_of(text, is_hexadecimal);
}

std::vector<std::string> read_digests(field_reader& fields)
{
    auto digests = fields.identifiers("key_digests");
    if (!std::ranges::all_of(digests, is_digest))
    {
        fields.report(
            "key_digests",
            "every element must be a SHA-256 digest: 64 of [0-9a-f]");
    }
    std::ranges::sort(digests);
    if (std::ranges::adjacent_find(digests) != digests.end())
    {
        fields.report("key_digests", "contains the same digest twice");
    }
    return digests;
}

template <class Id>
std::vector<Id> read_ids(field_reader& fields, std::string_view name)
{
    std::vector<Id> ids;
    for (auto& text : fields.identifiers(name))
    {
        ids.emplace_back(std::move(text));
    }
    return ids;
}

template <class Id>
json write_ids(const std::vector<Id>& ids)
{
    auto texts = json::array();
    for (const auto& id : ids)
    {
        texts.push_back(id.str());
    }
    return texts;
}

plan_entry read_plan(field_reader& fields, const std::string& workspace)
{
    plan_entry entry;
    entry.workspace = workspace_id{workspace};
    entry.plan = plan_id{fields.identifier("plan")};
    entry.key_digests = read_digests(fields);
    return entry;
}

entitlement_entry
read_entitlement(field_reader& fields, const std::string& plan)
{
    entitlement_entry entry;
    entry.plan = plan_id{plan};
    entry.models = read_ids<model_id>(fields, "models");
    entry.services = read_ids<service_id>(fields, "services");
    entry.requests_per_second =
        fields.non_negative_number("requests_per_second");
    entry.tokens_per_second = fields.non_negative_number("tokens_per_second");
    entry.concurrency = static_cast<std::uint32_t>(
        fields.unsigned_integer("concurrency", max_concurrency));
    entry.weight = static_cast<std::uint32_t>(
        fields.unsigned_integer("weight", max_weight));
    if (entry.weight == 0)
    {
        fields.report("weight", "must be at least 1");
    }
    entry.highest_class = read_class(fields, "highest_class");
    return entry;
}

wall_time read_time(field_reader& fields, std::string_view name)
{
    absl::Time parsed;
    std::string error;
    if (!absl::ParseTime(
            absl::RFC3339_full, fields.string(name), &parsed, &error))
    {
        fields.report(name, "must be a timestamp in the format of RFC 3339");
        return {};
    }
    return absl::ToChronoTime(parsed);
}

edit_record read_record(field_reader& fields)
{
    edit_record record;
    record.id = edit_id{fields.identifier("id")};
    record.user = fields.string("user");
    record.office = office_id{fields.string("office")};
    record.at = read_time(fields, "at");
    record.based_on = revision{fields.unsigned_integer("based_on", max_uint64)};
    record.version = revision{fields.unsigned_integer("version", max_uint64)};
    record.removal = fields.boolean("removal");
    return record;
}

edit_record
read_record(const json& value, std::string path, std::vector<mistake>& mistakes)
{
    if (!value.is_object())
    {
        mistakes.push_back({std::move(path), "must be an object"});
        return {};
    }
    field_reader fields{value, std::move(path), mistakes};
    return read_record(fields);
}

std::vector<edit_record>
read_records(field_reader& fields, std::vector<mistake>& mistakes)
{
    std::vector<edit_record> records;
    const auto* list = fields.child("earlier_edits");
    if (list == nullptr || !list->is_array())
    {
        fields.report("earlier_edits", "must be an array");
        return records;
    }
    for (const auto& element : *list)
    {
        records.push_back(
            read_record(element, fields.path_of("earlier_edits"), mistakes));
    }
    return records;
}

template <class Entry>
std::string encode_typed(const list_object<Entry>& object)
{
    entry_object document{{}, object.last_edit, object.earlier_edits};
    if (object.entry)
    {
        document.entry = to_json(*object.entry);
    }
    return encode(document);
}

/// Adds the defaults of optional fields that an operator's document omits.
void add_defaults(json& document, const json& defaults)
{
    for (const auto& item : defaults.items())
    {
        if (!document.contains(item.key()))
        {
            document[item.key()] = item.value();
        }
    }
}

template <class Entry, class Read>
Entry parse_entry(
    const std::string& name,
    std::string_view text,
    const json& defaults,
    std::vector<mistake>& mistakes,
    const Read& read)
{
    if (!is_identifier(name))
    {
        mistakes.push_back(
            {"name", "must be 1 to 128 characters of [A-Za-z0-9._-]"});
    }
    auto document = parse_object(text, mistakes);
    if (!document)
    {
        return {};
    }
    add_defaults(*document, defaults);
    field_reader fields{*document, "", mistakes};
    auto entry = read(fields);
    fields.reject_unknown_fields();
    return entry;
}

} // namespace

void read_edits(
    field_reader& fields,
    revision version,
    edit_record& last_edit,
    std::vector<edit_record>& earlier_edits,
    std::vector<mistake>& mistakes)
{
    if (!fields.has("last_edit"))
    {
        return;
    }
    last_edit = read_record(*fields.child("last_edit"), "last_edit", mistakes);
    last_edit.version = version;
    earlier_edits = read_records(fields, mistakes);
}

json to_json(const plan_entry& entry)
{
    return {
        {"plan", entry.plan.str()},
        {"key_digests", entry.key_digests},
    };
}

json to_json(const entitlement_entry& entry)
{
    return {
        {"models", write_ids(entry.models)},
        {"services", write_ids(entry.services)},
        {"requests_per_second", entry.requests_per_second},
        {"tokens_per_second", entry.tokens_per_second},
        {"concurrency", entry.concurrency},
        {"weight", entry.weight},
        {"highest_class", class_name(entry.highest_class)},
    };
}

json to_json(const edit_record& record)
{
    return {
        {"id", record.id.str()},
        {"user", record.user},
        {"office", record.office.str()},
        {"at",
         absl::FormatTime(
             absl::RFC3339_full,
             absl::FromChrono(record.at),
             absl::UTCTimeZone())},
        {"based_on", record.based_on.value()},
        {"version", record.version.value()},
        {"removal", record.removal},
    };
}

std::string encode(const entry_object& object)
{
    auto value = object.entry.value_or(json::object());
    value["removed"] = !object.entry.has_value();
    value["last_edit"] = to_json(object.last_edit);
    auto earlier = json::array();
    for (const auto& record : object.earlier_edits)
    {
        earlier.push_back(to_json(record));
    }
    value["earlier_edits"] = std::move(earlier);
    return value.dump();
}

std::string encode(const plan_object& object)
{
    return encode_typed(object);
}

std::string encode(const entitlement_object& object)
{
    return encode_typed(object);
}

result<plan_object> decode_plan(
    const std::string& workspace, std::string_view value, revision version)
{
    const auto read = [&](field_reader& fields)
    {
        auto entry = read_plan(fields, workspace);
        entry.version = version;
        return entry;
    };
    return decode_list_object<plan_entry>(value, version, read);
}

result<entitlement_object> decode_entitlement(
    const std::string& plan, std::string_view value, revision version)
{
    const auto read = [&](field_reader& fields)
    {
        auto entry = read_entitlement(fields, plan);
        entry.version = version;
        return entry;
    };
    return decode_list_object<entitlement_entry>(value, version, read);
}

result<edit_record> decode_edit_record(const json& value)
{
    std::vector<mistake> mistakes;
    auto record = read_record(value, "", mistakes);
    if (!mistakes.empty())
    {
        return errc::malformed;
    }
    return record;
}

plan_entry parse_plan(
    const std::string& workspace,
    std::string_view document,
    std::vector<mistake>& mistakes)
{
    const json defaults{{"key_digests", json::array()}};
    const auto read = [&](field_reader& fields)
    {
        return read_plan(fields, workspace);
    };
    return parse_entry<plan_entry>(
        workspace, document, defaults, mistakes, read);
}

entitlement_entry parse_entitlement(
    const std::string& plan,
    std::string_view document,
    std::vector<mistake>& mistakes)
{
    const json defaults{
        {"models", json::array()},
        {"services", json::array()},
        {"weight", 1},
        {"highest_class", "standard"}};
    const auto read = [&](field_reader& fields)
    {
        return read_entitlement(fields, plan);
    };
    return parse_entry<entitlement_entry>(
        plan, document, defaults, mistakes, read);
}

} // namespace fireflysail
