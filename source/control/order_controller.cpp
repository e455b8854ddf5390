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

/// True when the error says that the order had no effect.
bool is_without_effect(const std::error_code& error)
{
    return error == errc::unavailable || error == errc::invalid_argument ||
           error == errc::forbidden;
}

/// The uses that an engine no longer serves after a change of role.
server_role lost_role(server_role before, server_role after)
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
    const rcu_cell<fleet_snapshot>& fleet,
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
    if (!this->ensure_tenure() || !this->ensure_book())
    {
        return;
    }
    // Orders that the last leader sent in time have ended by then.
    if (this->time.now() <
        this->term->acquired_at + this->settings.longest_order)
    {
        return;
    }
    const auto now = this->fleet.load();
    for (const auto& server : this->term->book.servers())
    {
        const auto* reported = find_engine(*now, server);
        if (reported != nullptr)
        {
            this->settle(*reported);
        }
        if (!this->ensure_tenure() || !this->ensure_book())
        {
            return;
        }
    }
    this->place(*now, demand);
    for (const auto& server : this->term->book.servers())
    {
        const auto* reported = find_engine(*now, server);
        if (reported != nullptr)
        {
            this->reconcile(*reported);
        }
        if (!this->ensure_tenure() || !this->ensure_book())
        {
            return;
        }
    }
}

result<void>
order_controller::want(const server_id& server, const desired_state& desired)
{
    if (!this->ensure_tenure())
    {
        return errc::forbidden;
    }
    if (!this->ensure_book() || this->term->book.is_malformed(server))
    {
        return errc::unavailable;
    }
    order_object orders;
    if (const auto* known = this->term->book.find(server))
    {
        orders = *known;
    }
    // A second order could be overtaken by the first.
    if (!orders.open_unloads.empty())
    {
        return errc::unavailable;
    }
    if (orders.desired == desired && this->term->book.find(server) != nullptr)
    {
        return boost::outcome_v2::success();
    }
    orders.desired = desired;
    if (!this->term->book.save(server, orders, this->store_deadline()))
    {
        return errc::unavailable;
    }
    return boost::outcome_v2::success();
}

order_counters order_controller::counters() const
{
    return this->counts;
}

bool order_controller::ensure_tenure()
{
    const auto held = this->lease.held();
    if (!held)
    {
        this->term.reset();
        return false;
    }
    if (!this->term || this->term->fence != held->fence)
    {
        this->term.emplace(tenure{
            held->fence,
            held->acquired_at,
            order_book{this->objects},
            load_rate_limit{
                this->settings.load_rate,
                this->settings.load_burst,
                this->time.now()},
            placement{this->settings.placing},
            {}});
    }
    return true;
}

bool order_controller::ensure_book()
{
    return this->term->book.is_loaded() ||
           this->term->book.load(this->store_deadline());
}

bool order_controller::is_settled(
    const engine& server, const open_unload& open) const
{
    const bool may_still_be_sent =
        open.fence != this->term->fence && !open.acknowledged;
    if (may_still_be_sent)
    {
        return server.fencing == fencing_support::ignores &&
               this->time.now() >=
                   this->term->acquired_at + this->settings.forget_open_unloads;
    }
    // Reports lag: only one made well after the order shows its effect.
    if (!this->has_passed(server.id, this->settings.longest_order))
    {
        return false;
    }
    const auto& desired = this->term->book.find(server.id)->desired;
    const bool is_for_role = contains(desired.holdings, open.unwanted);
    return is_for_role ? server.role == desired.role
                       : !contains(server.holdings, open.unwanted);
}

bool order_controller::has_passed(
    const server_id& server, duration since_last_order) const
{
    const auto last = this->term->last_sent.find(server);
    return last == this->term->last_sent.end() ||
           this->time.now() >= last->second + since_last_order;
}

void order_controller::settle(const engine& server)
{
    const auto* known = this->term->book.find(server.id);
    if (known == nullptr || known->open_unloads.empty())
    {
        return;
    }
    order_object orders = *known;
    const auto settled = std::erase_if(
        orders.open_unloads,
        [&](const open_unload& open)
        {
            return this->is_settled(server, open);
        });
    if (settled > 0)
    {
        this->term->book.save(server.id, orders, this->store_deadline());
        return;
    }
    if (server.fencing == fencing_support::refuses_old)
    {
        this->raise_fence(server);
    }
}

void order_controller::raise_fence(const engine& server)
{
    order_object orders = *this->term->book.find(server.id);
    const auto may_still_be_sent = [&](const open_unload& open)
    {
        return open.fence != this->term->fence && !open.acknowledged;
    };
    if (std::ranges::none_of(orders.open_unloads, may_still_be_sent) ||
        !this->has_passed(server.id, this->settings.resend_interval))
    {
        return;
    }
    // Changes nothing but the number below which the engine refuses orders.
    if (!this->send(server.id, role_order{server.role}))
    {
        return;
    }
    // The old order has come already or never will; a report is to show which.
    for (auto& open : orders.open_unloads)
    {
        open.acknowledged |= may_still_be_sent(open);
    }
    this->term->book.save(server.id, orders, this->store_deadline());
}

void order_controller::place(
    const fleet_snapshot& now, const std::vector<model_demand>& demand)
{
    auto& current = *this->term;
    const auto move = current.placing.decide(
        now, current.book.uncertain(now), demand, this->time.now());
    const auto* server = move ? find_engine(now, move->server) : nullptr;
    if (server == nullptr || current.book.is_malformed(move->server))
    {
        return;
    }
    desired_state desired{server->role, server->holdings};
    if (const auto* known = current.book.find(move->server))
    {
        desired = known->desired;
    }
    std::erase_if(
        desired.holdings,
        [&](const holding& held)
        {
            return same_layers(held, move->given_up);
        });
    desired.holdings.push_back(move->taken_on);
    if (this->want(move->server, desired))
    {
        ++this->counts.moves;
        log::info(
            log::channel::control,
            "engine {} gives up {} for {}",
            move->server.str(),
            move->given_up.model.str(),
            move->taken_on.model.str());
    }
}

void order_controller::reconcile(const engine& server)
{
    const auto* known = this->term->book.find(server.id);
    if (known == nullptr ||
        !this->has_passed(server.id, this->settings.resend_interval))
    {
        return;
    }
    const auto plan = plan_orders(known->desired, server);
    if (plan.role)
    {
        this->change_role(server, *plan.role);
        return;
    }
    // What is given up makes room for what is taken on.
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
    const auto lost = lost_role(server.role, role);
    const bool allowed = role == server_role::mixed ||
                         std::ranges::all_of(
                             server.holdings,
                             [&](const holding& held)
                             {
                                 return this->can_lose(server.id, held, lost);
                             });
    if (!allowed)
    {
        ++this->counts.held_back;
        return;
    }
    (void)this->send_ending(server, server.holdings, role_order{role});
}

void order_controller::unload(const engine& server, const holding& unwanted)
{
    if (!this->can_lose(server.id, unwanted, server.role))
    {
        ++this->counts.held_back;
        return;
    }
    (void)this->send_ending(server, {unwanted}, unload_order{unwanted});
}

void order_controller::load(const engine& server, const holding& wanted)
{
    if (this->term->loads.take(wanted.layers.size(), this->time.now()))
    {
        (void)this->send(server.id, load_order{wanted});
    }
}

bool order_controller::can_lose(
    const server_id& server, const holding& lost, server_role role) const
{
    const auto now = this->fleet.load();
    const auto uncertain = this->term->book.uncertain(*now);
    return layer_coverage{*now, uncertain}.can_lose(server, lost, role);
}

result<void> order_controller::send_ending(
    const engine& server,
    const std::vector<holding>& ended,
    order_content content)
{
    order_object orders = *this->term->book.find(server.id);
    std::erase_if(
        orders.open_unloads,
        [&](const open_unload& open)
        {
            return open.fence == this->term->fence &&
                   contains(ended, open.unwanted);
        });
    for (const auto& held : ended)
    {
        orders.open_unloads.push_back({this->term->fence, held, false});
    }
    const bool is_written =
        orders == *this->term->book.find(server.id) ||
        this->term->book.save(server.id, orders, this->store_deadline());
    if (!is_written)
    {
        return errc::unknown_effect;
    }
    auto sent = this->send(server.id, std::move(content));
    this->note_end(server.id, ended, sent);
    return sent;
}

result<void>
order_controller::send(const server_id& server, order_content content)
{
    const auto held = this->lease.held();
    if (!held || held->fence != this->term->fence)
    {
        return errc::unavailable;
    }
    const auto now = this->time.now();
    this->term->last_sent[server] = now;
    const auto sent = this->sink.send(
        {server, held->fence, std::move(content)},
        std::min(held->valid_until, now + this->settings.order_timeout));
    ++this->counts.sent;
    if (!sent && sent.error() == errc::forbidden)
    {
        ++this->counts.refused_as_old;
    }
    if (!sent && sent.error() == errc::unknown_effect)
    {
        ++this->counts.unknown;
    }
    return sent;
}

void order_controller::note_end(
    const server_id& server,
    const std::vector<holding>& ended,
    const result<void>& sent)
{
    if (!sent && !is_without_effect(sent.error()))
    {
        return;
    }
    // Also done by a leader that has lost its lease meanwhile: the write fails
    // if anyone has touched the orders, and else tells the truth.
    order_object orders = *this->term->book.find(server);
    const auto is_own = [&](const open_unload& open)
    {
        return open.fence == this->term->fence &&
               contains(ended, open.unwanted);
    };
    if (sent)
    {
        for (auto& open : orders.open_unloads)
        {
            open.acknowledged |= is_own(open);
        }
    }
    else
    {
        std::erase_if(orders.open_unloads, is_own);
    }
    this->term->book.save(server, orders, this->store_deadline());
}

time_point order_controller::store_deadline() const
{
    return this->time.now() + this->settings.store_timeout;
}

} // namespace fireflysail
