#include "control/instance_census.hpp"

#include "store_model.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace std::chrono_literals;

TEST_CASE("instances count one another, each once however often it starts")
{
    manual_clock time;
    store_model objects{time};
    instance_census first{instance_id{"a"}, objects, time};
    instance_census second{instance_id{"b"}, objects, time};
    instance_census restarted{instance_id{"b"}, objects, time};
    CHECK(first.count() == 0);
    first.step();
    second.step();
    restarted.step();
    CHECK(first.count() == 0);
    time.advance(3s);
    first.step();
    restarted.step();
    CHECK(first.count() == 2);
    CHECK(restarted.count() == 2);
}
