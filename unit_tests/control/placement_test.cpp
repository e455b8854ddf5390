#include "control/load_rate_limit.hpp"
#include "control/placement.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const model_version v1{"1"};

holding part(const std::string& model, std::uint32_t first, std::uint32_t last)
{
    return {model_id{model}, v1, {layer_index{first}, layer_index{last}}, {}};
}

engine holder(const std::string& id, const holding& held)
{
    engine server;
    server.id = server_id{id};
    server.holdings = {held};
    server.load.slots = 10;
    return server;
}

/// Six engines with four layers each: two copies of model a and one of model b.
fleet_snapshot two_models()
{
    fleet_snapshot fleet;
    fleet.models = {{model_id{"a"}, 8}, {model_id{"b"}, 8}};
    fleet.engines = {
        holder("e1", part("a", 0, 4)),
        holder("e2", part("a", 4, 8)),
        holder("e3", part("a", 0, 4)),
        holder("e4", part("a", 4, 8)),
        holder("e5", part("b", 0, 4)),
        holder("e6", part("b", 4, 8))};
    return fleet;
}

std::vector<model_demand> demand_of(double a, double b)
{
    return {{model_id{"a"}, v1, a}, {model_id{"b"}, v1, b}};
}

time_point at(duration since_start)
{
    return time_point{} + since_start;
}

} // namespace

TEST_CASE("capacity is that of the layer with the fewest slots")
{
    auto fleet = two_models();
    const std::vector<uncertain_holding> none;
    CHECK(layer_coverage(fleet, none).capacity(model_id{"a"}, v1) == 20);
    fleet.engines[1].healthy = false;
    CHECK(layer_coverage(fleet, none).capacity(model_id{"a"}, v1) == 10);
    fleet.engines[3].mark = server_mark::leaving;
    CHECK(layer_coverage(fleet, none).capacity(model_id{"a"}, v1) == 0);
}

TEST_CASE("the last reliable holder of a layer cannot be removed")
{
    auto fleet = two_models();
    std::vector<uncertain_holding> uncertain;
    const auto can_lose_e1 = [&]
    {
        return layer_coverage{fleet, uncertain}.can_remove(
            server_id{"e1"}, part("a", 0, 4), server_role::mixed);
    };
    CHECK(can_lose_e1());
    SECTION("the other is unhealthy")
    {
        fleet.engines[2].healthy = false;
    }
    SECTION("the other is stopping")
    {
        fleet.engines[2].mark = server_mark::stopping;
    }
    SECTION("a pending order may unload the other")
    {
        uncertain.push_back({server_id{"e3"}, part("a", 0, 4)});
    }
    SECTION("the other serves only one inference phase")
    {
        fleet.engines[2].role = server_role::decode;
    }
    SECTION("the other lacks one of the layers")
    {
        fleet.engines[2].holdings = {part("a", 1, 4)};
    }
    CHECK_FALSE(can_lose_e1());
}

TEST_CASE("placement follows only sustained demand")
{
    const auto fleet = two_models();
    placement placing;
    CHECK_FALSE(placing.choose_move(fleet, {}, demand_of(2, 20), at(0s)));
    CHECK_FALSE(placing.choose_move(fleet, {}, demand_of(2, 20), at(29s)));
    // A short dip restarts the waiting time.
    CHECK_FALSE(placing.choose_move(fleet, {}, demand_of(2, 5), at(30s)));
    CHECK_FALSE(placing.choose_move(fleet, {}, demand_of(2, 20), at(31s)));
    CHECK_FALSE(placing.choose_move(fleet, {}, demand_of(2, 20), at(60s)));
    const auto move = placing.choose_move(fleet, {}, demand_of(2, 20), at(61s));
    REQUIRE(move);
    CHECK(move->unloaded.model == model_id{"a"});
    CHECK(move->loaded.model == model_id{"b"});
    // The next move waits for the cooldown.
    CHECK_FALSE(placing.choose_move(fleet, {}, demand_of(2, 20), at(100s)));
    CHECK(placing.choose_move(fleet, {}, demand_of(2, 20), at(182s)));
}

TEST_CASE("placement takes no engine from a model that needs it")
{
    const auto moves_with = [](const fleet_snapshot& fleet, double a, double b)
    {
        placement placing;
        placing.choose_move(fleet, {}, demand_of(a, b), at(0s));
        return placing.choose_move(fleet, {}, demand_of(a, b), at(60s))
            .has_value();
    };
    CHECK(moves_with(two_models(), 2, 20));
    CHECK_FALSE(moves_with(two_models(), 19, 20));
    // Utilization between the two thresholds causes no move.
    CHECK_FALSE(moves_with(two_models(), 2, 8));
    CHECK_FALSE(moves_with(two_models(), 10, 20));
    auto last_holders = two_models();
    last_holders.engines.erase(
        last_holders.engines.begin() + 2, last_holders.engines.begin() + 4);
    CHECK_FALSE(moves_with(last_holders, 0, 20));
}

TEST_CASE("the engine with most of a model's capacity is not moved")
{
    // Demand for a is low, but e1 and e2 hold most of its capacity.
    auto uneven = two_models();
    uneven.engines[2].load.slots = 2;
    uneven.engines[3].load.slots = 2;
    placement placing;
    placing.choose_move(uneven, {}, demand_of(4, 20), at(0s));
    const auto move =
        placing.choose_move(uneven, {}, demand_of(4, 20), at(60s));
    REQUIRE(move);
    CHECK(move->server == server_id{"e3"});
}

TEST_CASE("oscillating demand moves no engine")
{
    const auto fleet = two_models();
    placement placing;
    int moves = 0;
    for (int second = 0; second < 3600; ++second)
    {
        const bool first_half = second % 40 < 20;
        const auto demand = first_half ? demand_of(2, 20) : demand_of(20, 2);
        moves += placing.choose_move(
                     fleet, {}, demand, at(std::chrono::seconds{second}))
                     ? 1
                     : 0;
    }
    CHECK(moves == 0);
}

TEST_CASE("a token bucket enforces its average rate")
{
    load_rate_limit bucket{2, 10, at(0s)};
    CHECK_FALSE(bucket.try_take(1, at(0s)));
    int taken = 0;
    for (int tenth = 0; tenth < 1000; ++tenth)
    {
        taken += bucket.try_take(4, at(100ms * tenth)) ? 4 : 0;
    }
    CHECK(taken <= 200);
    CHECK(taken >= 190);
    // A cost above the burst delays the next one until the debt is paid off.
    CHECK(bucket.try_take(30, at(200s)));
    CHECK_FALSE(bucket.try_take(1, at(209s)));
    CHECK(bucket.try_take(1, at(211s)));
}
