#include "control/health_tracker.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;

TEST_CASE("three consecutive failures make a server unhealthy, one does not")
{
    health_tracker tracker;
    CHECK_FALSE(tracker.on_outcome(false));
    CHECK_FALSE(tracker.on_outcome(false));
    CHECK_FALSE(tracker.on_outcome(true));
    CHECK_FALSE(tracker.on_outcome(false));
    CHECK_FALSE(tracker.on_outcome(false));
    CHECK(tracker.healthy());
    CHECK(tracker.on_outcome(false));
    CHECK_FALSE(tracker.healthy());
    CHECK_FALSE(tracker.on_outcome(true));
    CHECK(tracker.on_outcome(true));
    CHECK(tracker.confirmed_healthy());
}

TEST_CASE("a single reading of the instance list changes nothing")
{
    health_tracker tracker;
    tracker.on_listing(listing::leaving);
    tracker.on_listing(listing::live);
    tracker.on_listing(listing::leaving);
    CHECK_FALSE(tracker.listed_as_leaving());
    CHECK(tracker.on_listing(listing::leaving));
    CHECK(tracker.listed_as_leaving());
    tracker.on_listing(listing::live);
    CHECK(tracker.listed_as_leaving());
    CHECK(tracker.on_listing(listing::live));
    CHECK_FALSE(tracker.listed_as_leaving());
}

TEST_CASE("absence from the list makes one failed probe enough")
{
    health_tracker tracker;
    tracker.on_listing(listing::absent);
    tracker.on_listing(listing::absent);
    CHECK(tracker.healthy());
    CHECK_FALSE(tracker.listed_as_leaving());
    CHECK(tracker.on_outcome(false));
    CHECK_FALSE(tracker.healthy());
}
