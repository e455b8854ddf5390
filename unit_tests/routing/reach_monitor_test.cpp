#include "routing/reach_monitor.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

using reach = reach_monitor::reach;

const server_id engine_a{"a"};
const server_id engine_b{"b"};
const time_point start{1h};

const reach_monitor::round_outcome all_failed{4, false};
const reach_monitor::round_outcome one_accepted{4, true};

reach_monitor make_suspicious()
{
    reach_monitor monitor{{}};
    monitor.on_failure(engine_a, start);
    monitor.on_failure(engine_b, start + 100ms);
    return monitor;
}

reach_monitor make_cut_off()
{
    reach_monitor monitor = make_suspicious();
    monitor.on_round(all_failed);
    monitor.on_round(all_failed);
    return monitor;
}

} // namespace

TEST_CASE("failures of a single server raise no suspicion")
{
    reach_monitor monitor{{}};
    for (int i = 0; i < 50; ++i)
    {
        monitor.on_failure(engine_a, start + i * 10ms);
    }
    CHECK(monitor.state() == reach::sound);
}

TEST_CASE("failures of two servers count together only within a short time")
{
    reach_monitor monitor{{}};
    monitor.on_failure(engine_a, start);
    monitor.on_failure(engine_b, start + 2s);
    CHECK(monitor.state() == reach::sound);
    monitor.on_failure(engine_a, start + 3s);
    CHECK(monitor.state() == reach::suspected);
}

TEST_CASE("a connection that is accepted between two failures disproves them")
{
    reach_monitor monitor{{}};
    monitor.on_failure(engine_a, start);
    monitor.on_contact();
    monitor.on_failure(engine_b, start + 100ms);
    CHECK(monitor.state() == reach::sound);
}

TEST_CASE("two rounds without an accepted connection show a cut-off instance")
{
    reach_monitor monitor = make_suspicious();
    monitor.on_round(all_failed);
    CHECK(monitor.state() == reach::suspected);
    monitor.on_round(all_failed);
    CHECK(monitor.state() == reach::cut_off);
}

TEST_CASE("one accepted connection ends a suspicion")
{
    reach_monitor monitor = make_suspicious();
    monitor.on_round(all_failed);
    const bool by_round = GENERATE(false, true);
    by_round ? monitor.on_round(one_accepted) : monitor.on_contact();
    CHECK(monitor.state() == reach::sound);
    // A later suspicion starts over.
    monitor.on_failure(engine_a, start + 1s);
    monitor.on_failure(engine_b, start + 1s);
    monitor.on_round(all_failed);
    CHECK(monitor.state() == reach::suspected);
}

TEST_CASE("a round that could ask one server alone shows nothing")
{
    reach_monitor monitor = make_suspicious();
    monitor.on_round({1, false});
    CHECK(monitor.state() == reach::sound);
}

TEST_CASE("a cut-off instance is sound again after two good rounds in a row")
{
    reach_monitor monitor = make_cut_off();
    monitor.on_contact();
    monitor.on_round(one_accepted);
    monitor.on_round(all_failed);
    monitor.on_round(one_accepted);
    CHECK(monitor.state() == reach::cut_off);
    monitor.on_round(one_accepted);
    CHECK(monitor.state() == reach::sound);
}

TEST_CASE("a suspicion that was disproved is not raised again at once")
{
    reach_monitor monitor = make_suspicious();
    CHECK(monitor.next_round() <= start);
    monitor.on_round_begun(start + 100ms);
    monitor.on_round(one_accepted);
    CHECK(monitor.next_round() == start + 400ms);
    monitor.on_failure(engine_a, start + 200ms);
    monitor.on_failure(engine_b, start + 1099ms);
    CHECK(monitor.state() == reach::sound);
    monitor.on_failure(engine_b, start + 1100ms);
    CHECK(monitor.state() == reach::suspected);
}
