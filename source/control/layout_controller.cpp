#include "control/layout_controller.hpp"

#include "common/error.hpp"
#include "common/log.hpp"
#include "control/fleet_builder.hpp"
#include "store/backoff.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

std::string_view name_of(order_outcome outcome)
{
    switch (outcome)
    {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::conflict:
        return "conflict";
    case order_outcome::fenced:
        return "fenced";
    case order_outcome::other_server:
        return "other_server";
    case order_outcome::not_sent:
        return "not_sent";
    case order_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::optional<layer_range> held_range(const engine& server)
{
    return server.holdings.empty()
               ? std::nullopt
               : std::optional{server.holdings.front().layers};
}

} // namespace

layout_controller::layout_controller(
    blackboard& board,
    engine_control& engines,
    const engine_prober& prober,
    const clock& time,
    layout_controller_options options)
    : board{board}
    , engines{engines}
    , prober{prober}
    , time{time}
    , options{options}
{
}

bool layout_controller::step(
    const leadership& current, const std::function<bool()>& is_still_leader)
{
    const auto config = this->board.traffic.load();
    const auto fleet = this->board.fleet.load();
    const time_point now = this->time.now();
    this->incomplete_since.reset();
    if (!config || !this->is_fleet_stable(*fleet, now))
    {
        return true;
    }
    this->drop_finished_orders(*fleet, now);
    for (const auto& [id, service] : config->services)
    {
        if (!service.engines || service.engines->layers == 0)
        {
            continue;
        }
        const auto steps = this->plan(*fleet, service);
        for (const layout_step& wanted : steps)
        {
            const auto server =
                std::ranges::find(fleet->engines, wanted.server, &engine::id);
            const auto known = this->pending.find(wanted.server);
            const bool is_delayed = known != this->pending.end() &&
                                    this->time.now() < known->second.retry_at;
            if (server == fleet->engines.end() || is_delayed)
            {
                continue;
            }
            if (!is_still_leader())
            {
                return true;
            }
            const order_outcome outcome = this->send_order(
                *server, wanted, *service.engines, current.fence);
            if (outcome == order_outcome::fenced)
            {
                return false;
            }
        }
    }
    return true;
}

std::vector<layout_step> layout_controller::plan(
    const fleet_snapshot& fleet, const service_profile& service) const
{
    return plan_layout(
        this->build_layout_engines(fleet, service.id, *service.engines),
        service.engines->layers);
}

bool layout_controller::is_takeover_due()
{
    const auto config = this->board.traffic.load();
    const auto fleet = this->board.fleet.load();
    const time_point now = this->time.now();
    const bool is_incomplete =
        config && std::ranges::any_of(
                      config->services,
                      [this, &fleet](const auto& item)
                      {
                          const service_profile& service = item.second;
                          return service.engines &&
                                 service.engines->layers > 0 &&
                                 !this->plan(*fleet, service).empty();
                      });
    if (!is_incomplete)
    {
        this->incomplete_since.reset();
        return false;
    }
    if (!this->incomplete_since)
    {
        this->incomplete_since = now;
        this->takeover_wait =
            this->options.takeover_delay +
            random_duration(this->options.takeover_jitter, this->random);
    }
    return now - *this->incomplete_since >= this->takeover_wait;
}

bool layout_controller::is_fleet_stable(
    const fleet_snapshot& fleet, time_point now)
{
    const auto held = std::ranges::any_of(
        fleet.engines,
        [](const engine& server)
        {
            return !server.holdings.empty();
        });
    if (fleet.engines.size() != this->last_engine_count)
    {
        this->last_engine_count = fleet.engines.size();
        this->engine_count_changed_at = now;
    }
    return held || now - this->engine_count_changed_at >=
                       this->options.settle_time + this->options.fetch_interval;
}

void layout_controller::drop_finished_orders(
    const fleet_snapshot& fleet, time_point now)
{
    std::erase_if(
        this->pending,
        [&](const auto& item)
        {
            const auto& [id, order] = item;
            const auto server =
                std::ranges::find(fleet.engines, id, &engine::id);
            return server == fleet.engines.end() ||
                   server->started_at_ms != order.started_at_ms ||
                   held_range(*server) == order.layers ||
                   now >= order.give_up_at;
        });
}

std::vector<layout_engine> layout_controller::build_layout_engines(
    const fleet_snapshot& fleet,
    const service_id& service,
    const engine_profile& profile) const
{
    std::vector<layout_engine> layout_engines;
    for (const engine& server : fleet.engines)
    {
        if (server.service != service || !server.healthy ||
            !accepts_new_work(server.mark) || this->prober.is_lost(server.id))
        {
            continue;
        }
        layout_engine entry;
        entry.id = server.id;
        entry.zone = server.zone;
        entry.memory =
            profile.layer_size.value() == 0
                ? 0
                : static_cast<double>(server.memory.value()) /
                      static_cast<double>(profile.layer_size.value());
        const auto known = this->pending.find(server.id);
        const bool ordered =
            known != this->pending.end() && known->second.accepted;
        entry.held =
            ordered ? std::optional{known->second.layers} : held_range(server);
        layout_engines.push_back(std::move(entry));
    }
    return layout_engines;
}

order_outcome layout_controller::send_order(
    const engine& server,
    const layout_step& step,
    const engine_profile& profile,
    fencing_number fence)
{
    pending_order order;
    order.layers = step.layers;
    order.started_at_ms = server.started_at_ms;
    const auto status = this->prober.is_backing_off(server.id)
                            ? result<engine_condition>{errc::unavailable}
                            : this->engines.status(server);
    order_outcome outcome = order_outcome::not_sent;
    if (status && !status.value().leaving)
    {
        outcome = this->engines.place(
            server,
            {step.layers,
             unload_mode::finish_running,
             fence,
             status.value().orders_accepted});
    }
    const time_point now = this->time.now();
    order.accepted = outcome == order_outcome::accepted;
    order.retry_at = now + this->options.retry_delay;
    const double layer_share =
        static_cast<double>(step.layers.size()) / profile.layers;
    order.give_up_at = order.accepted
                           ? now + this->options.report_delay +
                                 std::chrono::duration_cast<duration>(
                                     profile.load_time * layer_share *
                                     this->options.load_timeout_factor)
                           : order.retry_at;
    log::event(
        order.accepted ? log::level::info : log::level::warning,
        log::channel::control,
        "layers_ordered",
        {{"server", server.id.str()},
         {"zone", server.zone.str()},
         {"first", step.layers.first.value()},
         {"last", step.layers.last.value()},
         {"fence", fence.value()},
         {"outcome", name_of(outcome)}});
    this->pending.insert_or_assign(server.id, order);
    return outcome;
}

} // namespace fireflysail
