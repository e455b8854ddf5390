#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

struct stopping_fixture : relay_fixture
{
    stopping_fixture()
    {
        this->node.bounds.stop_grace = 8s;
    }

    received_answer ask_one(const std::string& path, const std::string& limit)
    {
        const auto answers = this->ask(
            {get(path, "X-Fireflysail-Deadline-Ms: " + limit + "\r\n")});
        REQUIRE(answers.size() == 1);
        return answers.front();
    }
};

} // namespace

// Guards against requests that are sent on late in the grace of a planned stop
// and cut off at its end.
TEST_CASE_METHOD(
    stopping_fixture, "a request that would outlive a planned stop is refused")
{
    const std::string path = GENERATE("/safe/", "/once/");
    auto& desk = this->add_desk(
        "d1",
        [](std::size_t, const http_request&)
        {
            return whole_answer(200, "done");
        });
    this->stopping_for = 4s;
    CHECK(this->ask_one(path, "4500").status == 503);
    CHECK(desk.received.empty());
    SECTION("and one that is answered before is served")
    {
        CHECK(this->ask_one(path, "3000").status == 200);
    }
    SECTION("late in the grace as well")
    {
        this->stopping_for = 7s;
        CHECK(this->ask_one(path, "2500").status == 503);
        CHECK(desk.received.empty());
    }
}

TEST_CASE_METHOD(
    stopping_fixture, "a stream that would outlive a planned stop is refused")
{
    auto& engine = this->add_engine(
        "e1",
        [](std::size_t, const http_request&)
        {
            return events(1, 3, true);
        });
    this->stopping_for = 4s;
    CHECK(this->ask_one("/stream/", "5000").status == 503);
    CHECK(engine.received.empty());
    SECTION("but not before the balancer has noticed the stop")
    {
        this->stopping_for = 1s;
        this->node.bounds.stop_grace = 3s;
        CHECK(this->ask_one("/stream/", "5000").status == 200);
    }
}

TEST_CASE_METHOD(
    stopping_fixture, "a request that waits does not outlive a planned stop")
{
    // Nothing serves it, so that it waits for an engine.
    this->stopping_for = 4s;
    const auto answer = this->ask_one("/stream/", "5000");
    CHECK(answer.status == 503);
    CHECK(answer.body == "stopping\n");
}
