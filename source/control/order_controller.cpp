#include "control/order_controller.hpp"

#include "common/error.hpp"
#include "common/log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fireflysail
{

namespace
{

const engine* find_engine(const fleet_snapshot& fleet, const server_id& id)
{
    const auto found = std::ranges::find(fleet.engines, id, &engine::id);
    return found == fleet.engines.end() ? nullptr : &*found;
}

/// True when the error guarantees that the order had no effect.
bool has_no_effect(const std::error_code& error)
{
    return error == errc::unavailable || error == errc::invalid_argument ||
           error == errc::forbidden;
}

/// The phases that an engine stops serving after a change of role.
server_role removed_role(server_role before, server_role after)
{
    if (before != server_role::mixed)
    {
        return before;
    }
    return after == server_role::prefill ? server_role::decode
                                         : server_role::prefill;
}

} // namespace

order_controller::order_controller(
    const lease_client& lease,
    store& objects,
    order_sink& sink,
    const snapshot_cell<fleet_snapshot>& fleet,
    const clock& time,
    order_settings settings)
    : lease{lease}
    , objects{objects}
    , sink{sink}
    , fleet{fleet}
    , time{time}
    , settings{settings}
{
}

void order_controller::step(const std::vector<model_demand>& demand)
{
    if (!this->refresh_leadership() || !this->ensure_cache_loaded())
    {
        return;
    }
    // By then, orders that the previous leader sent before its lease expired
    // have arrived or failed.
    if (this->time.now() <
        this->state->acquired_at + this->settings.max_order_delay)
    {
        return;
    }
    const auto now = this->fleet.load();
    for (const auto& server : this->state->cache.servers())
    {
        const auto* reported = find_engine(*now, server);
        if (reported != nullptr)
        {
            this->remove_settled_unloads(*reported);
        }
        if (!this->refresh_leadership() || !this->ensure_cache_loaded())
        {
            return;
        }
    }
    this->rebalance(*now, demand);
    for (const auto& server : this->state->cache.servers())
    {
        const auto* reported = find_engine(*now, server);
        if (reported != nullptr)
        {
            this->reconcile(*reported);
        }
        if (!this->refresh_leadership() || !this->ensure_cache_loaded())
        {
            return;
        }
    }
}

result<void> order_controller::set_desired(
    const server_id& server, const desired_state& desired)
{
    if (!this->refresh_leadership())
    {
        return errc::forbidden;
    }
    if (!this->ensure_cache_loaded() || this->state->cache.is_malformed(server))
    {
        return errc::unavailable;
    }
    order_object orders;
    if (const auto* known = this->state->cache.find(server))
    {
        orders = *known;
    }
    // The earlier order could arrive after a second one.
    if (!orders.pending_unloads.empty())
    {
        return errc::unavailable;
    }
    if (orders.desired == desired && this->state->cache.find(server) != nullptr)
    {
        return boost::outcome_v2::success();
    }
    orders.desired = desired;
    if (!this->state->cache.save(server, orders, this->store_deadline()))
    {
        return errc::unavailable;
    }
    return boost::outcome_v2::success();
}

order_counters order_controller::counters() const
{
    return this->counts;
}

bool order_controller::refresh_leadership()
{
    const auto held = this->lease.held();
    if (!held)
    {
        this->state.reset();
        return false;
    }
    if (!this->state || this->state->fence != held->fence)
    {
        this->state.emplace(leader_state{
            held->fence,
            held->acquired_at,
            order_cache{this->objects},
            load_rate_limit{
                this->settings.load_rate,
                this->settings.load_burst,
                this->time.now()},
            placement{this->settings.placing},
            {}});
    }
    return true;
}

bool order_controller::ensure_cache_loaded()
{
    return this->state->cache.is_loaded() ||
           this->state->cache.load(this->store_deadline());
}

bool order_controller::is_settled(
    const engine& server, const pending_unload& open) const
{
    const bool may_still_be_sent =
        open.fence != this->state->fence && !open.acknowledged;
    if (may_still_be_sent)
    {
        return server.fencing == fencing_support::ignores &&
               this->time.now() >= this->state->acquired_at +
                                       this->settings.pending_unload_expiry;
    }
    // Reports lag behind, so only one made at least this long after the order
    // shows its effect.
    if (!this->has_elapsed_since_order(
            server.id, this->settings.max_order_delay))
    {
        return false;
    }
    const auto& desired = this->state->cache.find(server.id)->desired;
    const bool is_for_role = contains(desired.holdings, open.unloaded);
    return is_for_role ? server.role == desired.role
                       : !contains(server.holdings, open.unloaded);
}

bool order_controller::has_elapsed_since_order(
    const server_id& server, duration since_last_order) const
{
    const auto last = this->state->last_sent.find(server);
    return last == this->state->last_sent.end() ||
           this->time.now() >= last->second + since_last_order;
}

void order_controller::remove_settled_unloads(const engine& server)
{
    const auto* known = this->state->cache.find(server.id);
    if (known == nullptr || known->pending_unloads.empty())
    {
        return;
    }
    order_object orders = *known;
    const auto settled = std::erase_if(
        orders.pending_unloads,
        [&](const pending_unload& open)
        {
            return this->is_settled(server, open);
        });
    if (settled > 0)
    {
        this->state->cache.save(server.id, orders, this->store_deadline());
        return;
    }
    if (server.fencing == fencing_support::refuses_old)
    {
        this->raise_fence(server);
    }
}

void order_controller::raise_fence(const engine& server)
{
    order_object orders = *this->state->cache.find(server.id);
    const auto may_still_be_sent = [&](const pending_unload& open)
    {
        return open.fence != this->state->fence && !open.acknowledged;
    };
    if (std::ranges::none_of(orders.pending_unloads, may_still_be_sent) ||
        !this->has_elapsed_since_order(
            server.id, this->settings.resend_interval))
    {
        return;
    }
    // Repeats the current role, so the order only raises the lowest fencing
    // number that the engine accepts.
    if (!this->send(server.id, role_order{server.role}))
    {
        return;
    }
    // The old order has either arrived or will be refused; the next reports
    // show which.
    for (auto& open : orders.pending_unloads)
    {
        open.acknowledged |= may_still_be_sent(open);
    }
    this->state->cache.save(server.id, orders, this->store_deadline());
}

void order_controller::rebalance(
    const fleet_snapshot& now, const std::vector<model_demand>& demand)
{
    auto& current = *this->state;
    const auto move = current.placing.choose_move(
        now, current.cache.uncertain(now), demand, this->time.now());
    const auto* server = move ? find_engine(now, move->server) : nullptr;
    if (server == nullptr || current.cache.is_malformed(move->server))
    {
        return;
    }
    desired_state desired{server->role, server->holdings};
    if (const auto* known = current.cache.find(move->server))
    {
        desired = known->desired;
    }
    std::erase_if(
        desired.holdings,
        [&](const holding& held)
        {
            return same_layers(held, move->unloaded);
        });
    desired.holdings.push_back(move->loaded);
    if (this->set_desired(move->server, desired))
    {
        ++this->counts.moves;
        log::info(
            log::channel::control,
            "engine {} unloads model {} to load model {}",
            move->server.str(),
            move->unloaded.model.str(),
            move->loaded.model.str());
    }
}

void order_controller::reconcile(const engine& server)
{
    const auto* known = this->state->cache.find(server.id);
    if (known == nullptr || !this->has_elapsed_since_order(
                                server.id, this->settings.resend_interval))
    {
        return;
    }
    const auto plan = plan_orders(known->desired, server);
    if (plan.role)
    {
        this->change_role(server, *plan.role);
        return;
    }
    // Unload first, to free memory for the loads.
    if (!plan.unloads.empty())
    {
        this->unload(server, plan.unloads.front());
        return;
    }
    if (!plan.loads.empty())
    {
        this->load(server, plan.loads.front());
    }
}

void order_controller::change_role(const engine& server, server_role role)
{
    const auto lost = removed_role(server.role, role);
    const bool allowed = role == server_role::mixed ||
                         std::ranges::all_of(
                             server.holdings,
                             [&](const holding& held)
                             {
                                 return this->can_remove(server.id, held, lost);
                             });
    if (!allowed)
    {
        ++this->counts.blocked_unloads;
        return;
    }
    (void)this->send_removal(server, server.holdings, role_order{role});
}

void order_controller::unload(const engine& server, const holding& unloaded)
{
    if (!this->can_remove(server.id, unloaded, server.role))
    {
        ++this->counts.blocked_unloads;
        return;
    }
    (void)this->send_removal(server, {unloaded}, unload_order{unloaded});
}

void order_controller::load(const engine& server, const holding& wanted)
{
    if (this->state->loads.try_take(wanted.layers.size(), this->time.now()))
    {
        (void)this->send(server.id, load_order{wanted});
    }
}

bool order_controller::can_remove(
    const server_id& server, const holding& lost, server_role role) const
{
    const auto now = this->fleet.load();
    const auto uncertain = this->state->cache.uncertain(*now);
    return layer_coverage{*now, uncertain}.can_remove(server, lost, role);
}

result<void> order_controller::send_removal(
    const engine& server,
    const std::vector<holding>& removed,
    order_content content)
{
    order_object orders = *this->state->cache.find(server.id);
    std::erase_if(
        orders.pending_unloads,
        [&](const pending_unload& open)
        {
            return open.fence == this->state->fence &&
                   contains(removed, open.unloaded);
        });
    for (const auto& held : removed)
    {
        orders.pending_unloads.push_back({this->state->fence, held, false});
    }
    const bool is_written =
        orders == *this->state->cache.find(server.id) ||
        this->state->cache.save(server.id, orders, this->store_deadline());
    if (!is_written)
    {
        return errc::unknown_effect;
    }
    auto sent = this->send(server.id, std::move(content));
    this->record_removal(server.id, removed, sent);
    return sent;
}

result<void>
order_controller::send(const server_id& server, order_content content)
{
    const auto held = this->lease.held();
    if (!held || held->fence != this->state->fence)
    {
        return errc::unavailable;
    }
    const auto now = this->time.now();
    this->state->last_sent[server] = now;
    const auto sent = this->sink.send(
        {server, held->fence, std::move(content)},
        std::min(held->valid_until, now + this->settings.send_timeout));
    ++this->counts.sent;
    if (!sent && sent.error() == errc::forbidden)
    {
        ++this->counts.refused_by_fence;
    }
    if (!sent && sent.error() == errc::unknown_effect)
    {
        ++this->counts.unknown;
    }
    return sent;
}

void order_controller::record_removal(
    const server_id& server,
    const std::vector<holding>& removed,
    const result<void>& sent)
{
    if (!sent && !has_no_effect(sent.error()))
    {
        return;
    }
    // A leader whose lease has expired meanwhile also writes the result: the
    // conditional write fails if another instance has changed the orders, and
    // otherwise the result is correct.
    order_object orders = *this->state->cache.find(server);
    const auto is_own = [&](const pending_unload& open)
    {
        return open.fence == this->state->fence &&
               contains(removed, open.unloaded);
    };
    if (sent)
    {
        for (auto& open : orders.pending_unloads)
        {
            open.acknowledged |= is_own(open);
        }
    }
    else
    {
        std::erase_if(orders.pending_unloads, is_own);
    }
    this->state->cache.save(server, orders, this->store_deadline());
}

time_point order_controller::store_deadline() const
{
    return this->time.now() + this->settings.store_timeout;
}

} // namespace fireflysail
