#include "serving/crash_watch.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace fireflysail;

namespace
{

const fingerprint print{7};
const std::vector<server_id> first{server_id{"a"}, server_id{"b"}};
const std::vector<server_id> second{server_id{"c"}, server_id{"d"}};

} // namespace

TEST_CASE("a suspect that another copy of it cleared is not held up")
{
    manual_clock time;
    crash_watch watch{time};
    crash_watch::run one{watch, print};
    crash_watch::run other{watch, print};
    REQUIRE(one.begin_attempt(first) == attempt_start::go);
    REQUIRE(other.begin_attempt(first) == attempt_start::go);
    one.on_lost(server_id{"a"});
    other.on_lost(server_id{"a"});

    REQUIRE(one.begin_attempt(second) == attempt_start::go);
    CHECK(other.begin_attempt(second) == attempt_start::wait);
    one.on_completed();
    CHECK(other.begin_attempt(second) == attempt_start::go);
}

TEST_CASE("a suspect whose attempt ended otherwise leaves its servers")
{
    manual_clock time;
    crash_watch watch{time};
    crash_watch::run one{watch, print};
    crash_watch::run other{watch, print};
    REQUIRE(one.begin_attempt(first) == attempt_start::go);
    REQUIRE(other.begin_attempt(first) == attempt_start::go);
    one.on_lost(server_id{"a"});
    other.on_lost(server_id{"a"});

    REQUIRE(one.begin_attempt(second) == attempt_start::go);
    one.end_attempt();
    CHECK(other.begin_attempt(second) == attempt_start::go);
}

TEST_CASE("the second crash convicts, and every copy is told")
{
    manual_clock time;
    crash_watch watch{time};
    crash_watch::run one{watch, print};
    crash_watch::run other{watch, print};
    REQUIRE(one.begin_attempt(first) == attempt_start::go);
    one.on_lost(server_id{"a"});
    REQUIRE(one.begin_attempt(second) == attempt_start::go);
    CHECK(one.on_lost(server_id{"c"}) == crash_verdict::quarantined);
    CHECK(other.begin_attempt(second) == attempt_start::quarantined);
    CHECK(watch.status_of(print).level == suspicion_level::quarantined);
}
