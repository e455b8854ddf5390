#include "routing/replacement.hpp"

#include "routing/random_fleet.hpp"
#include "routing/routing_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <optional>

using namespace fireflysail;

namespace
{

std::optional<replacement> replace(
    routing_fixture& routing,
    const pipeline& previous,
    const std::vector<server_id>& lost)
{
    return plan_replacement(
        *routing.table, previous, lost, routing.view(), routing.random);
}

} // namespace

TEST_CASE("a replacement keeps the healthy stage and its layers")
{
    routing_fixture routing{4};
    const pipeline previous = routing.set().candidates.front();
    const server_id lost = previous.stages[1].server;
    routing.at(lost.str()).healthy = false;
    routing.replan();
    const auto made = replace(routing, previous, {lost});
    REQUIRE(made);
    CHECK(covers_exactly(made->route, 8));
    CHECK(made->kept == std::vector<bool>{true, false});
    CHECK(made->route.stages[0].server == previous.stages[0].server);
    CHECK(made->route.stages[1].server != lost);
}

TEST_CASE("streams that lost the same engine spread over the others")
{
    routing_fixture routing{8};
    const pipeline previous = routing.set().candidates.front();
    const server_id lost = previous.stages[1].server;
    routing.at(lost.str()).healthy = false;
    routing.replan();
    std::map<server_id, int> taken;
    for (int i = 0; i < 140; ++i)
    {
        const auto made = replace(routing, previous, {lost});
        REQUIRE(made);
        ++taken[made->route.stages[1].server];
        routing.loads.begin(made->route);
    }
    CHECK(taken.size() == 7);
    for (const auto& [server, count] : taken)
    {
        CHECK(count < 40);
    }
}

TEST_CASE(
    "a range that only the lost engine held is covered by trimming others")
{
    routing_fixture routing{0};
    routing.add("a", 0, 3);
    routing.add("b", 3, 6);
    routing.add("c", 6, 8);
    routing.add("wide", 2, 7);
    routing.replan();
    pipeline previous;
    for (const pipeline& each : routing.set().candidates)
    {
        previous =
            each.stages.size() == 3 && each.stages[1].server == server_id{"b"}
                ? each
                : previous;
    }
    REQUIRE(previous.stages.size() == 3);
    routing.at("b").healthy = false;
    routing.replan();
    const auto made = replace(routing, previous, {server_id{"b"}});
    REQUIRE(made);
    CHECK(covers_exactly(made->route, 8));
    CHECK(made->route.stages[1].server == server_id{"wide"});
    CHECK(made->kept == std::vector<bool>{true, false, true});
}

TEST_CASE("no replacement when the gap cannot be covered")
{
    routing_fixture routing{1};
    const pipeline previous = routing.set().candidates.front();
    const server_id lost = previous.stages[0].server;
    CHECK_FALSE(replace(routing, previous, {lost}));
}

TEST_CASE("random fleets: replacements cover every layer without lost servers")
{
    int made_count = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        INFO("seed " << seed);
        random_fleet source{seed};
        routing_fixture routing{0};
        routing.fleet =
            source.make({.engines = 40, .models = 1, .versions = 1});
        routing.replan();
        for (const auto& [key, set] : routing.table->sets)
        {
            for (const pipeline& previous : set->candidates)
            {
                std::vector<server_id> lost;
                for (const stage& part : previous.stages)
                {
                    if (lost.empty() || source.pick(0, 2) == 0)
                    {
                        lost.push_back(part.server);
                    }
                }
                const auto made = replace(routing, previous, lost);
                if (!made)
                {
                    continue;
                }
                ++made_count;
                REQUIRE(covers_exactly(made->route, set->graph.layers));
                for (const stage& part : made->route.stages)
                {
                    REQUIRE(std::ranges::count(lost, part.server) == 0);
                }
            }
        }
    }
    CHECK(made_count > 500);
}
