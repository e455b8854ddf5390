#include "routing/ejection.hpp"

#include "routing/routing_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

struct ejection_fixture : routing_fixture
{
    using routing_fixture::routing_fixture;

    void observe_all(const std::set<std::string>& slow, duration slow_step)
    {
        for (const graph_engine& holder : this->set().graph.engines)
        {
            stage part;
            part.slot = holder.slot;
            part.server_key = holder.server_key;
            part.layers = holder.layers;
            const bool is_slow = slow.contains(holder.server.str());
            for (int i = 0; i < 16; ++i)
            {
                this->times.observe(
                    part,
                    is_slow ? slow_step : 4ms,
                    service_outcome::served,
                    this->time.now());
            }
        }
    }

    bool evaluate()
    {
        this->time.advance(1s);
        return this->ejections.evaluate(
            *this->table, this->times, this->states, this->time.now());
    }

    service_state state(const char* server) const
    {
        return this->states.get(*this->table->slot_of(server_id{server}));
    }
};

} // namespace

TEST_CASE("a slow engine is ejected only when it stays slow")
{
    ejection_fixture routing{8};
    routing.observe_all({"head-3"}, 20ms);
    CHECK_FALSE(routing.evaluate());
    CHECK_FALSE(routing.evaluate());
    CHECK(routing.state("head-3") == service_state::in_service);
    CHECK(routing.evaluate());
    CHECK(routing.state("head-3") == service_state::ejected);
    CHECK(routing.ejections.ejected().contains(server_id{"head-3"}));
    routing.replan();
    CHECK(routing.state("head-3") == service_state::ejected);
}

TEST_CASE("an engine between the two slowness thresholds keeps its state")
{
    ejection_fixture routing{8};
    for (int i = 0; i < 20; ++i)
    {
        routing.observe_all({"head-3"}, 7ms);
        routing.evaluate();
    }
    CHECK(routing.state("head-3") == service_state::in_service);
}

TEST_CASE("at most a quarter of the holders of a layer is ejected")
{
    ejection_fixture routing{8};
    for (int i = 0; i < 6; ++i)
    {
        routing.observe_all({"head-0", "head-1", "head-2", "head-3"}, 40ms);
        routing.evaluate();
    }
    CHECK(routing.ejections.ejected().size() == 2);

    ejection_fixture few{2};
    for (int i = 0; i < 6; ++i)
    {
        few.observe_all({"head-0"}, 40ms);
        few.evaluate();
    }
    CHECK(few.ejections.ejected().empty());
}

TEST_CASE(
    "an ejected engine returns on probation and is ejected longer if slow")
{
    ejection_fixture routing{8};
    for (int i = 0; i < 3; ++i)
    {
        routing.observe_all({"head-3"}, 20ms);
        routing.evaluate();
    }
    REQUIRE(routing.state("head-3") == service_state::ejected);
    routing.replan();
    routing.time.advance(10s);
    CHECK(routing.evaluate());
    CHECK(routing.state("head-3") == service_state::on_probation);
    routing.replan();

    SECTION("still slow")
    {
        routing.observe_all({"head-3"}, 20ms);
        CHECK(routing.evaluate());
        CHECK(routing.state("head-3") == service_state::ejected);
        routing.replan();
        routing.time.advance(12s);
        routing.evaluate();
        CHECK(routing.state("head-3") == service_state::ejected);
    }
    SECTION("recovered")
    {
        for (int i = 0; i < 3; ++i)
        {
            routing.observe_all({}, 20ms);
            routing.evaluate();
        }
        CHECK(routing.state("head-3") == service_state::in_service);
    }
}

TEST_CASE("an engine that fails most of its uses is ejected")
{
    ejection_fixture routing{8};
    routing.observe_all({}, 4ms);
    stage part = routing.set().candidates.front().stages[0];
    for (int i = 0; i < 40; ++i)
    {
        routing.times.observe(
            part, 4ms, service_outcome::failed, routing.time.now());
    }
    for (int i = 0; i < 3; ++i)
    {
        routing.evaluate();
    }
    CHECK(routing.ejections.ejected().contains(part.server));
}
