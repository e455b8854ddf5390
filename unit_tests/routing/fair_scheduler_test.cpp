#include "routing/fair_scheduler.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace fireflysail;

TEST_CASE("active flows are served in proportion to their weights")
{
    fair_scheduler<std::string> fair;
    fair.activate("heavy", 3);
    fair.activate("light", 1);
    std::map<std::string, int> served;
    for (int i = 0; i < 400; ++i)
    {
        const auto next = fair.next();
        ++served[*next];
        fair.charge(*next, 1);
    }
    CHECK(served["heavy"] == Approx(300).margin(2));
    CHECK(fair.share_of("heavy", 3) == Approx(0.75));
    CHECK(fair.share_of("newcomer", 4) == Approx(0.5));
}

TEST_CASE("an idle flow accumulates no credit")
{
    fair_scheduler<std::string> fair;
    fair.activate("busy", 1);
    fair.activate("idle", 1);
    fair.charge("idle", 1);
    fair.deactivate("idle");
    for (int i = 0; i < 100; ++i)
    {
        fair.charge("busy", 1);
    }
    fair.activate("idle", 1);
    int in_a_row = 0;
    while (*fair.next() == "idle")
    {
        ++in_a_row;
        fair.charge("idle", 1);
    }
    CHECK(in_a_row <= 2);
}

TEST_CASE("a flow is charged for service that took longer than expected")
{
    fair_scheduler<std::string> fair;
    fair.activate("honest", 1);
    fair.activate("understated", 1);
    std::map<std::string, double> used;
    for (int i = 0; i < 600; ++i)
    {
        const std::string next = *fair.next();
        const double actual = next == "honest" ? 1 : 5;
        fair.charge(next, 1);
        fair.correct(next, actual - 1);
        used[next] += actual;
    }
    CHECK(used["understated"] / used["honest"] == Approx(1).margin(0.05));
}

TEST_CASE("idle flows are dropped from the table")
{
    fair_scheduler<int> fair;
    fair.activate(-1, 1);
    for (int i = 0; i < 20000; ++i)
    {
        fair.activate(i, 1);
        fair.charge(i, 1);
        fair.deactivate(i);
        fair.charge(-1, 2);
    }
    CHECK(fair.size() < 3000);
}
