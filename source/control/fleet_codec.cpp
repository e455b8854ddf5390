#include "control/fleet_codec.hpp"

#include "common/error.hpp"
#include "control/field_reader.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t max_layers = 100'000;
constexpr std::uint64_t max_delay_us = 10'000'000;
constexpr char zone_separator = '~';

template <class Value, std::size_t Count>
using name_table = std::array<std::pair<Value, std::string_view>, Count>;

constexpr name_table<server_mark, 4> marks{
    {{server_mark::joining, "joining"},
     {server_mark::serving, "serving"},
     {server_mark::leaving, "leaving"},
     {server_mark::stopping, "stopping"}}};

constexpr name_table<server_role, 3> roles{
    {{server_role::mixed, "mixed"},
     {server_role::prefill, "prefill"},
     {server_role::decode, "decode"}}};

constexpr name_table<fencing_support, 2> fencing_kinds{
    {{fencing_support::refuses_old, "refuses_old"},
     {fencing_support::ignores, "ignores"}}};

template <class Value, std::size_t Count>
std::string_view name_of(const name_table<Value, Count>& table, Value value)
{
    using row = typename name_table<Value, Count>::value_type;
    return std::ranges::find(table, value, &row::first)->second;
}

template <class Value, std::size_t Count>
result<Value>
value_of(const name_table<Value, Count>& table, std::string_view name)
{
    using row = typename name_table<Value, Count>::value_type;
    const auto found = std::ranges::find(table, name, &row::second);
    if (found == table.end())
    {
        return errc::malformed;
    }
    return found->first;
}

template <class Value, std::size_t Count>
Value read_named(
    field_reader& fields,
    std::string_view name,
    const name_table<Value, Count>& table)
{
    const auto value = value_of(table, fields.string(name));
    if (!value)
    {
        fields.report(name, "is not a known value");
        return {};
    }
    return value.value();
}

endpoint read_endpoint(field_reader& fields)
{
    endpoint address;
    address.host = fields.string("host");
    address.port = static_cast<int>(fields.unsigned_integer("port", max_port));
    if (address.host.empty() || address.port == 0)
    {
        fields.report("host", "host and port must be given");
    }
    return address;
}

engine read_engine(field_reader& fields, const std::string& id)
{
    engine server;
    server.id = server_id{id};
    server.address = read_endpoint(fields);
    server.zone = zone_id{fields.identifier("zone")};
    server.region = region_id{fields.identifier("region")};
    server.kind = accelerator_kind{fields.identifier("accelerator")};
    server.role = read_named(fields, "role", roles);
    server.fencing = read_named(fields, "fencing", fencing_kinds);
    return server;
}

service_server read_service(field_reader& fields, const std::string& id)
{
    service_server server;
    server.id = server_id{id};
    server.service = service_id{fields.identifier("service")};
    server.address = read_endpoint(fields);
    server.zone = zone_id{fields.identifier("zone")};
    return server;
}

json to_json(const engine& server)
{
    return {
        {"type", "engine"},
        {"host", server.address.host},
        {"port", server.address.port},
        {"zone", server.zone.str()},
        {"region", server.region.str()},
        {"accelerator", server.kind.str()},
        {"role", name_of(roles, server.role)},
        {"fencing", name_of(fencing_kinds, server.fencing)},
    };
}

json to_json(const service_server& server)
{
    return {
        {"type", "service"},
        {"service", server.service.str()},
        {"host", server.address.host},
        {"port", server.address.port},
        {"zone", server.zone.str()},
    };
}

/// Parses a JSON object and converts its fields with `read`.
template <class Value, class Read>
result<Value> decode_document(std::string_view text, const Read& read)
{
    std::vector<mistake> mistakes;
    const auto document = parse_object(text, mistakes);
    if (!document)
    {
        return errc::malformed;
    }
    field_reader fields{*document, "", mistakes};
    Value value = read(fields);
    if (!mistakes.empty())
    {
        return errc::malformed;
    }
    return value;
}

} // namespace

result<server_registration>
decode_server(const std::string& id, std::string_view value)
{
    const auto read = [&](field_reader& fields) -> server_registration
    {
        const auto type = fields.string("type");
        if (type == "engine")
        {
            return read_engine(fields, id);
        }
        if (type != "service")
        {
            fields.report("type", "must be engine or service");
        }
        return read_service(fields, id);
    };
    return decode_document<server_registration>(value, read);
}

result<model_shape> decode_model(const std::string& id, std::string_view value)
{
    const auto read = [&](field_reader& fields)
    {
        model_shape model;
        model.id = model_id{id};
        model.layers = static_cast<std::uint32_t>(
            fields.unsigned_integer("layers", max_layers));
        if (model.layers == 0)
        {
            fields.report("layers", "must be at least 1");
        }
        return model;
    };
    return decode_document<model_shape>(value, read);
}

result<zone_link> decode_link(const std::string& name, std::string_view value)
{
    const auto separator = name.find(zone_separator);
    if (separator == std::string::npos)
    {
        return errc::malformed;
    }
    const auto read = [&](field_reader& fields)
    {
        zone_link link;
        link.a = zone_id{name.substr(0, separator)};
        link.b = zone_id{name.substr(separator + 1)};
        link.delay = std::chrono::microseconds{
            fields.unsigned_integer("delay_us", max_delay_us)};
        return link;
    };
    return decode_document<zone_link>(value, read);
}

std::string encode(const server_registration& server)
{
    const auto write = [](const auto& value)
    {
        return to_json(value).dump();
    };
    return std::visit(write, server);
}

std::string encode(const model_shape& model)
{
    return json{{"layers", model.layers}}.dump();
}

std::string encode(const zone_link& link)
{
    const auto delay =
        std::chrono::duration_cast<std::chrono::microseconds>(link.delay);
    return json{{"delay_us", delay.count()}}.dump();
}

std::string link_name(const zone_link& link)
{
    return link.a.str() + zone_separator + link.b.str();
}

std::string_view to_string(server_mark mark)
{
    return name_of(marks, mark);
}

std::string_view to_string(server_role role)
{
    return name_of(roles, role);
}

result<server_mark> parse_server_mark(std::string_view text)
{
    return value_of(marks, text);
}

result<server_role> parse_server_role(std::string_view text)
{
    return value_of(roles, text);
}

} // namespace fireflysail
