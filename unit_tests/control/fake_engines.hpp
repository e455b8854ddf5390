#pragma once

#include "common/error.hpp"
#include "control/lease_client.hpp"
#include "control/order_controller.hpp"
#include "control/store_decorator.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflysail::testing
{

inline constexpr std::uint32_t model_layers = 8;
inline constexpr auto tick = std::chrono::milliseconds{250};

inline holding full_model(const std::string& model)
{
    return {
        model_id{model},
        model_version{"1"},
        {layer_index{0}, layer_index{model_layers}},
        {}};
}

/// Engines that execute orders at once, report late, and check after each order
/// that every layer has an engine for each inference phase.
class fake_engines
{
public:
    void
    add(const std::string& id,
        const std::string& model,
        fencing_support fencing)
    {
        engine server;
        server.id = server_id{id};
        server.fencing = fencing;
        server.holdings = {full_model(model)};
        server.load.slots = 10;
        this->engines.push_back(server);
        this->publish();
    }

    result<void> apply(const engine_order& order)
    {
        auto& server = this->find(order.server);
        auto& highest = this->highest_fence[order.server];
        if (server.fencing == fencing_support::refuses_old &&
            order.fence < highest)
        {
            return errc::forbidden;
        }
        highest = std::max(highest, order.fence);
        std::visit(
            [&](const auto& content)
            {
                execute(server, content);
            },
            order.content);
        ++this->applied;
        this->check_coverage();
        return boost::outcome_v2::success();
    }

    /// Delays the arrival of an order until `due`.
    void apply_late(const engine_order& order, time_point due)
    {
        this->delayed_orders.push_back({order, due});
    }

    /// Applies the delayed orders that are due and publishes the state of the
    /// engines `report_lag` calls ago.
    void report(time_point now)
    {
        for (std::size_t index = 0; index < this->delayed_orders.size();)
        {
            if (this->delayed_orders[index].second > now)
            {
                ++index;
                continue;
            }
            const auto order = this->delayed_orders[index].first;
            this->delayed_orders.erase(
                this->delayed_orders.begin() +
                static_cast<std::ptrdiff_t>(index));
            (void)this->apply(order);
        }
        this->report_history.push_back(this->engines);
        while (this->report_history.size() > this->report_lag)
        {
            this->report_history.pop_front();
        }
        this->publish();
    }

    engine& find(const server_id& id)
    {
        return *std::ranges::find(this->engines, id, &engine::id);
    }

    std::vector<engine> engines;
    snapshot_cell<fleet_snapshot> cell;
    int applied = 0;
    std::size_t report_lag = 8;

private:
    static void execute(engine& server, const load_order& order)
    {
        std::erase_if(
            server.holdings,
            [&](const holding& held)
            {
                return same_layers(held, order.wanted);
            });
        server.holdings.push_back(order.wanted);
    }

    static void execute(engine& server, const unload_order& order)
    {
        std::erase_if(
            server.holdings,
            [&](const holding& held)
            {
                return same_layers(held, order.unloaded);
            });
    }

    static void execute(engine& server, const role_order& order)
    {
        server.role = order.role;
    }

    void check_coverage() const
    {
        for (const auto* model : {"m", "n"})
        {
            for (const auto phase :
                 {inference_phase::prefill, inference_phase::decode})
            {
                const bool held = std::ranges::any_of(
                    this->engines,
                    [&](const engine& server)
                    {
                        return can_serve(server.role, phase) &&
                               contains(server.holdings, full_model(model));
                    });
                INFO("model " << model);
                REQUIRE(held);
            }
        }
    }

    void publish()
    {
        auto next = std::make_shared<fleet_snapshot>();
        next->engines = this->report_history.empty()
                            ? this->engines
                            : this->report_history.front();
        next->models = {
            {model_id{"m"}, model_layers}, {model_id{"n"}, model_layers}};
        this->cell.publish(std::move(next));
    }

    std::map<server_id, fencing_number> highest_fence;
    std::deque<std::vector<engine>> report_history;
    std::vector<std::pair<engine_order, time_point>> delayed_orders;
};

/// Fate of an order whose response is lost.
enum class order_loss
{
    never_arrives,
    arrives,
    arrives_late,
};

/// An instance that may become leader and runs a hook between any two of its
/// effects.
class order_instance final : public order_sink
{
public:
    order_instance(
        const std::string& name,
        store& objects,
        fake_engines& engines,
        const manual_clock& time,
        const order_settings& settings = {})
        : decorated_store{objects}
        , engines{engines}
        , time{time}
        , lease{duty_id{"placement"}, leader_lease{instance_id{name}, "incarnation-" + name}, decorated_store, time}
        , controller{
              lease, decorated_store, *this, engines.cell, time, settings}
    {
        const auto boundary = [this]
        {
            this->run_boundary_hook();
        };
        this->decorated_store.before_each = boundary;
        this->decorated_store.after_each = boundary;
    }

    result<void>
    send(const engine_order& order, time_point send_deadline) override
    {
        this->sent_without_lease += this->lease.held() ? 0 : 1;
        this->run_boundary_hook();
        if (this->time.now() > send_deadline)
        {
            return errc::unavailable;
        }
        // The last check has passed, so the instance cannot detect a pause
        // here.
        this->run_boundary_hook();
        if (this->lose_order)
        {
            this->lose(order, this->lose_order());
            return errc::unknown_effect;
        }
        auto answer = this->engines.apply(order);
        this->run_boundary_hook();
        return answer;
    }

    void step()
    {
        this->lease.step();
        this->controller.step({});
    }

    int sent_without_lease = 0;
    /// Called between any two effects of the instance.
    std::function<void()> at_boundary;
    /// When set, orders receive no response; returns the fate of each.
    std::function<order_loss()> lose_order;

private:
    void lose(const engine_order& order, order_loss how)
    {
        // Below `order_settings::max_order_delay`.
        constexpr auto lateness = std::chrono::seconds{9};
        switch (how)
        {
        case order_loss::never_arrives:
            break;
        case order_loss::arrives:
            (void)this->engines.apply(order);
            break;
        case order_loss::arrives_late:
            this->engines.apply_late(order, this->time.now() + lateness);
            break;
        }
    }

    void run_boundary_hook()
    {
        if (this->at_boundary)
        {
            this->at_boundary();
        }
    }

    store_decorator decorated_store;
    fake_engines& engines;
    const manual_clock& time;

public:
    lease_client lease;
    order_controller controller;
};

} // namespace fireflysail::testing
