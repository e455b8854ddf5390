#include "control/layout_controller.hpp"

#include "common/error.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const service_id model{"model"};

/// Engines that accept every order, unless configured otherwise.
class fake_engine_control final : public engine_control
{
public:
    result<engine_condition> status(const engine& server) override
    {
        if (this->unreachable.contains(server.id))
        {
            return errc::unavailable;
        }
        engine_condition report;
        report.orders_accepted = this->expected_orders_accepted;
        report.kv_total = 1000;
        report.kv_used = this->kv_used;
        for (const held_layers& range : this->reported)
        {
            report.layers.push_back(range);
        }
        return report;
    }

    result<engine_health> health(const engine& server) override
    {
        return engine_health{!this->leaving.contains(server.id), false};
    }

    order_outcome
    place(const engine& server, const placement_order& order) override
    {
        this->ordered.emplace_back(server.id, order);
        return this->answer;
    }

    std::vector<std::pair<server_id, placement_order>> ordered;
    std::map<server_id, bool> unreachable;
    std::map<server_id, bool> leaving;
    std::uint64_t expected_orders_accepted = 3;
    std::uint64_t kv_used = 100;
    std::vector<held_layers> reported;
    order_outcome answer = order_outcome::accepted;
};

engine make(const char* id)
{
    engine server;
    server.id = server_id{id};
    server.zone = zone_id{"a"};
    server.service = model;
    server.memory = byte_count{6000};
    return server;
}

struct fixture
{
    fixture()
    {
        auto config = std::make_shared<traffic_config>();
        service_profile profile;
        profile.id = model;
        profile.engines = engine_profile{};
        profile.engines->layers = 8;
        profile.engines->layer_size = byte_count{1000};
        profile.engines->load_time = 8s;
        config->services.emplace(model, profile);
        this->board.traffic.publish(std::move(config));
        this->publish({make("e1"), make("e2"), make("e3")});
    }

    void publish(std::vector<engine> engines)
    {
        auto fleet = std::make_shared<fleet_snapshot>();
        fleet->engines = std::move(engines);
        this->board.fleet.publish(std::move(fleet));
    }

    bool step()
    {
        return this->layout.step(
            {fencing_number{7}, {}, {}},
            [this]
            {
                return this->leads;
            });
    }

    /// Publishes a fleet in which the engines have executed their orders.
    void apply_orders()
    {
        auto fleet = *this->board.fleet.load();
        for (const auto& [id, order] : this->engines.ordered)
        {
            const auto found =
                std::ranges::find(fleet.engines, id, &engine::id);
            if (found != fleet.engines.end())
            {
                found->holdings = {
                    {model_id{"model"}, model_version{"1"}, order.layers, {}}};
            }
        }
        this->publish(fleet.engines);
    }

    blackboard board;
    manual_clock time;
    fake_engine_control engines;
    engine_prober prober{board, engines, time};
    layout_controller layout{board, engines, prober, time};
    bool leads = true;
};

} // namespace

TEST_CASE_METHOD(fixture, "the first layout waits until the fleet has settled")
{
    CHECK(this->step());
    CHECK(this->engines.ordered.empty());
    this->time.advance(600ms);
    CHECK(this->step());
    CHECK(this->engines.ordered.size() == 3);
}

TEST_CASE_METHOD(fixture, "the first layout includes engines fetched late")
{
    // A large fleet registers while changes are fetched once a second. A layout
    // of the first half would leave the other engines as spares.
    layout_controller_options options;
    options.fetch_interval = 1s;
    layout_controller slow{
        this->board, this->engines, this->prober, this->time, options};
    const auto always = []
    {
        return true;
    };
    const leadership led{fencing_number{7}, {}, {}};
    slow.step(led, always);
    this->time.advance(700ms);
    slow.step(led, always);
    this->time.advance(300ms);
    this->publish({make("e1"), make("e2"), make("e3"), make("e4")});
    slow.step(led, always);
    CHECK(this->engines.ordered.empty());
    this->time.advance(1600ms);
    slow.step(led, always);
    CHECK(this->engines.ordered.size() == 4);
}

TEST_CASE_METHOD(fixture, "orders carry the fence and the accepted order count")
{
    this->step();
    this->time.advance(600ms);
    this->step();
    REQUIRE_FALSE(this->engines.ordered.empty());
    const auto& order = this->engines.ordered.front().second;
    CHECK(order.fence == fencing_number{7});
    CHECK(order.expected_orders_accepted == 3);
    CHECK(order.mode == unload_mode::finish_running);
}

TEST_CASE_METHOD(
    fixture, "an order is not repeated while its load may be running")
{
    this->step();
    this->time.advance(600ms);
    this->step();
    this->time.advance(1s);
    this->step();
    CHECK(this->engines.ordered.size() == 3);
    this->apply_orders();
    this->time.advance(1min);
    this->step();
    CHECK(this->engines.ordered.size() == 3);
}

TEST_CASE_METHOD(fixture, "an order refused with a conflict is retried")
{
    this->engines.answer = order_outcome::conflict;
    this->step();
    this->time.advance(600ms);
    this->step();
    const auto before = this->engines.ordered.size();
    this->step();
    CHECK(this->engines.ordered.size() == before);
    this->engines.answer = order_outcome::accepted;
    this->time.advance(500ms);
    this->step();
    CHECK(this->engines.ordered.size() == before + 3);
}

TEST_CASE_METHOD(fixture, "a refused fencing number ends the step")
{
    this->engines.answer = order_outcome::fenced;
    this->step();
    this->time.advance(600ms);
    CHECK_FALSE(this->step());
    CHECK(this->engines.ordered.size() == 1);
}

TEST_CASE_METHOD(fixture, "no orders are sent after leadership is lost")
{
    this->leads = false;
    this->step();
    this->time.advance(600ms);
    CHECK(this->step());
    CHECK(this->engines.ordered.empty());
}

TEST_CASE_METHOD(
    fixture, "layers of an unresponsive engine move to its neighbours")
{
    this->step();
    this->time.advance(600ms);
    this->step();
    this->apply_orders();
    this->engines.ordered.clear();
    this->engines.unreachable[server_id{"e2"}] = true;
    this->prober.report(server_id{"e2"}, engine_fault::unreachable);
    this->prober.probe_suspected();
    this->step();
    CHECK(this->engines.ordered.empty());
    this->time.advance(400ms);
    this->prober.probe_suspected();
    CHECK(this->prober.lost() == std::vector{server_id{"e2"}});
    this->step();
    CHECK_FALSE(this->engines.ordered.empty());
    CHECK(std::ranges::none_of(
        this->engines.ordered,
        [](const auto& item)
        {
            return item.first == server_id{"e2"};
        }));
}

TEST_CASE_METHOD(
    fixture, "a takeover is due only while the layout stays incomplete")
{
    CHECK_FALSE(this->layout.is_takeover_due());
    this->time.advance(499ms);
    CHECK_FALSE(this->layout.is_takeover_due());
    this->time.advance(2001ms);
    CHECK(this->layout.is_takeover_due());
    this->step();
    this->time.advance(600ms);
    this->step();
    this->apply_orders();
    CHECK_FALSE(this->layout.is_takeover_due());
    this->time.advance(1h);
    CHECK_FALSE(this->layout.is_takeover_due());
}

namespace
{

/// Reports requests refused by e2 over 3 s, with probes in between.
void report_refusals_of_e2(fixture& at)
{
    for (int i = 0; i < 12; ++i)
    {
        at.prober.report(server_id{"e2"}, engine_fault::named_by_peer);
        at.prober.probe_suspected();
        at.time.advance(250ms);
    }
    at.step();
}

} // namespace

TEST_CASE_METHOD(
    fixture, "layers of an engine that refuses requests move to its neighbours")
{
    this->step();
    this->time.advance(600ms);
    this->step();
    this->apply_orders();
    this->engines.reported = {{{}, model_version{"1"}}};
    this->engines.ordered.clear();
    report_refusals_of_e2(*this);
    CHECK(this->prober.lost() == std::vector{server_id{"e2"}});
    CHECK_FALSE(this->engines.ordered.empty());
}

TEST_CASE_METHOD(
    fixture, "an engine that refuses for lack of memory keeps its layers")
{
    this->step();
    this->time.advance(600ms);
    this->step();
    this->apply_orders();
    this->engines.reported = {{{}, model_version{"1"}}};
    this->engines.kv_used = 950;
    this->engines.ordered.clear();
    report_refusals_of_e2(*this);
    CHECK(this->prober.lost().empty());
    CHECK(this->engines.ordered.empty());
}

TEST_CASE_METHOD(
    fixture, "one refusal suffices when the engine reports that it drains")
{
    this->step();
    this->time.advance(600ms);
    this->step();
    this->apply_orders();
    this->engines.reported = {{{}, model_version{"1"}}};
    this->engines.leaving[server_id{"e2"}] = true;
    this->prober.report(server_id{"e2"}, engine_fault::named_by_peer);
    this->prober.probe_suspected();
    CHECK(this->prober.lost() == std::vector{server_id{"e2"}});
}
