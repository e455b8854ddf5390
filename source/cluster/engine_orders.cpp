#include "cluster/engine_orders.hpp"

#include "common/error.hpp"
#include "control/fleet_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

json encode_holding(const holding& held)
{
    json adapters = json::array();
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

json encode_content(const load_order& order)
{
    return {{"order", "load"}, {"holding", encode_holding(order.wanted)}};
}

json encode_content(const unload_order& order)
{
    return {{"order", "unload"}, {"holding", encode_holding(order.unloaded)}};
}

json encode_content(const role_order& order)
{
    return {{"order", "role"}, {"role", to_string(order.role)}};
}

std::error_code to_sink_error(const std::error_code& error)
{
    if (error == errc::conflict)
    {
        return make_error_code(errc::forbidden);
    }
    if (error == errc::malformed)
    {
        return make_error_code(errc::invalid_argument);
    }
    return error;
}

} // namespace

std::string encode(const engine_order& order)
{
    auto body = std::visit(
        [](const auto& content)
        {
            return encode_content(content);
        },
        order.content);
    body["fencing"] = order.fence.value();
    return body.dump();
}

std::vector<model_demand> reported_demand(const fleet_snapshot& fleet)
{
    using version_key = std::pair<model_id, model_version>;
    std::map<version_key, std::map<layer_index, double>> streams;
    for (const auto& server : fleet.engines)
    {
        for (const auto& held : server.holdings)
        {
            // Counted at the first layer held: engines of one range compete
            // for the same streams, those of others see them again.
            streams[{held.model, held.version}][held.layers.first] +=
                server.load.running + server.load.waiting;
        }
    }
    std::vector<model_demand> demand;
    for (const auto& [key, by_layer] : streams)
    {
        const auto most = std::ranges::max_element(
            by_layer, {}, &std::pair<const layer_index, double>::second);
        demand.push_back({key.first, key.second, most->second});
    }
    return demand;
}

engine_orders::engine_orders(
    const clock& time,
    engine_api& engines,
    const snapshot_cell<fleet_snapshot>& fleet)
    : time{time}
    , engines{engines}
    , fleet{fleet}
{
}

result<void>
engine_orders::send(const engine_order& order, time_point not_after)
{
    const auto now_fleet = this->fleet.load();
    const auto found =
        std::ranges::find(now_fleet->engines, order.server, &engine::id);
    if (found == now_fleet->engines.end())
    {
        return make_error_code(errc::unavailable);
    }
    const auto body = encode(order);
    // A leader that was paused until here must not send any more.
    if (this->time.now() >= not_after)
    {
        return make_error_code(errc::unavailable);
    }
    const auto sent = this->engines.order(found->address, body);
    if (!sent)
    {
        return to_sink_error(sent.error());
    }
    return boost::outcome_v2::success();
}

} // namespace fireflysail
