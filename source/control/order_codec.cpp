#include "control/order_codec.hpp"

#include "common/error.hpp"
#include "control/field_reader.hpp"
#include "control/fleet_codec.hpp"

#include <limits>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t max_layer = std::numeric_limits<std::uint32_t>::max();

json write_holding(const holding& held)
{
    auto adapters = json::array();
    for (const auto& adapter : held.adapters)
    {
        adapters.push_back(adapter.str());
    }
    return {
        {"model", held.model.str()},
        {"version", held.version.str()},
        {"first", held.layers.first.value()},
        {"last", held.layers.last.value()},
        {"adapters", std::move(adapters)}};
}

layer_index read_layer(field_reader& fields, std::string_view name)
{
    return layer_index{
        static_cast<std::uint32_t>(fields.unsigned_integer(name, max_layer))};
}

holding read_holding(field_reader& fields)
{
    holding held;
    held.model = model_id{fields.string("model")};
    held.version = model_version{fields.string("version")};
    held.layers = {read_layer(fields, "first"), read_layer(fields, "last")};
    for (auto& adapter : fields.identifiers("adapters"))
    {
        held.adapters.emplace_back(std::move(adapter));
    }
    return held;
}

pending_unload
read_pending_unload(field_reader& fields, std::vector<mistake>& mistakes)
{
    pending_unload open;
    open.fence = fencing_number{fields.unsigned_integer("fence", max_number)};
    open.acknowledged = fields.boolean("acknowledged");
    const auto* unloaded = fields.child("holding");
    if (unloaded != nullptr && unloaded->is_object())
    {
        field_reader inner{*unloaded, fields.path_of("holding"), mistakes};
        open.unloaded = read_holding(inner);
    }
    return open;
}

/// Reads an array of objects, converting each with `read`.
template <class Read>
auto read_array(
    field_reader& fields,
    std::string_view name,
    std::vector<mistake>& mistakes,
    const Read& read)
{
    std::vector<std::invoke_result_t<Read, field_reader&>> elements;
    const auto* array = fields.child(name);
    if (array == nullptr || !array->is_array())
    {
        fields.report(name, "must be an array");
        return elements;
    }
    for (const auto& element : *array)
    {
        if (!element.is_object())
        {
            fields.report(name, "every element must be an object");
            return elements;
        }
        field_reader inner{element, fields.path_of(name), mistakes};
        elements.push_back(read(inner));
    }
    return elements;
}

} // namespace

std::string encode(const order_object& object)
{
    auto holdings = json::array();
    for (const auto& held : object.desired.holdings)
    {
        holdings.push_back(write_holding(held));
    }
    auto pending_unloads = json::array();
    for (const auto& open : object.pending_unloads)
    {
        pending_unloads.push_back(
            {{"fence", open.fence.value()},
             {"holding", write_holding(open.unloaded)},
             {"acknowledged", open.acknowledged}});
    }
    return json{
        {"role", to_string(object.desired.role)},
        {"holdings", std::move(holdings)},
        {"open_unloads", std::move(pending_unloads)}}
        .dump();
}

result<order_object> decode_order(std::string_view value)
{
    std::vector<mistake> mistakes;
    const auto document = parse_object(value, mistakes);
    if (!document)
    {
        return errc::malformed;
    }
    field_reader fields{*document, "", mistakes};
    order_object object;
    const auto role = parse_server_role(fields.string("role"));
    if (!role)
    {
        return errc::malformed;
    }
    object.desired.role = role.value();
    object.desired.holdings =
        read_array(fields, "holdings", mistakes, read_holding);
    object.pending_unloads = read_array(
        fields,
        "open_unloads",
        mistakes,
        [&](field_reader& inner)
        {
            return read_pending_unload(inner, mistakes);
        });
    if (!mistakes.empty())
    {
        return errc::malformed;
    }
    return object;
}

} // namespace fireflysail
