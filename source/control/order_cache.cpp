#include "control/order_cache.hpp"

#include "common/log.hpp"
#include "control/order_plan.hpp"

#include <algorithm>

namespace fireflysail
{

order_cache::order_cache(store& objects)
    : objects{objects}
{
}

bool order_cache::is_loaded() const
{
    return this->loaded;
}

bool order_cache::load(time_point deadline)
{
    const auto snapshot = this->objects.list({order_kind}, deadline);
    if (!snapshot)
    {
        return false;
    }
    this->entries.clear();
    for (const auto& object : snapshot.value().objects)
    {
        entry known;
        known.version = object.version;
        const auto decoded = decode_order(object.value);
        known.malformed = !decoded;
        if (decoded)
        {
            known.orders = decoded.value();
        }
        else
        {
            log::error(
                log::channel::control,
                "order/{} is malformed; sending no orders to this engine",
                object.key.name);
        }
        this->entries[server_id{object.key.name}] = std::move(known);
    }
    this->loaded = true;
    return true;
}

bool order_cache::save(
    const server_id& server, const order_object& orders, time_point deadline)
{
    const object_key key{order_kind, server.str()};
    const auto known = this->entries.find(server);
    const auto written =
        known == this->entries.end()
            ? this->objects.create(key, encode(orders), deadline)
            : this->objects.update(
                  key, encode(orders), known->second.version, deadline);
    if (!written)
    {
        this->loaded = false;
        return false;
    }
    this->entries[server] = {orders, written.value(), false};
    return true;
}

const order_object* order_cache::find(const server_id& server) const
{
    const auto known = this->entries.find(server);
    return known == this->entries.end() || known->second.malformed
               ? nullptr
               : &known->second.orders;
}

bool order_cache::is_malformed(const server_id& server) const
{
    const auto known = this->entries.find(server);
    return known != this->entries.end() && known->second.malformed;
}

std::vector<server_id> order_cache::servers() const
{
    std::vector<server_id> servers;
    for (const auto& [server, known] : this->entries)
    {
        if (!known.malformed)
        {
            servers.push_back(server);
        }
    }
    return servers;
}

std::vector<uncertain_holding>
order_cache::uncertain(const fleet_snapshot& fleet) const
{
    std::vector<uncertain_holding> uncertain;
    for (const auto& server : fleet.engines)
    {
        const auto known = this->entries.find(server.id);
        if (known != this->entries.end())
        {
            this->add_uncertain(server, known->second, uncertain);
        }
    }
    return uncertain;
}

void order_cache::add_uncertain(
    const engine& server,
    const entry& known,
    std::vector<uncertain_holding>& uncertain) const
{
    const auto is_pending = [&](const holding& held)
    {
        return std::ranges::any_of(
            known.orders.pending_unloads,
            [&](const pending_unload& open)
            {
                return same_layers(open.unloaded, held);
            });
    };
    for (const auto& held : server.holdings)
    {
        if (known.malformed || is_pending(held))
        {
            uncertain.push_back({server.id, held});
        }
    }
}

} // namespace fireflysail
