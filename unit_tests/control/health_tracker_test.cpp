#include "control/health_tracker.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;

TEST_CASE("one lost probe does not take a server out, three do")
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

TEST_CASE("a single reading of the instance list is not believed")
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

TEST_CASE("absence from the list only makes a failed probe count")
{
    health_tracker tracker;
    tracker.on_listing(listing::absent);
    tracker.on_listing(listing::absent);
    CHECK(tracker.healthy());
    CHECK_FALSE(tracker.listed_as_leaving());
    CHECK(tracker.on_outcome(false));
    CHECK_FALSE(tracker.healthy());
}
