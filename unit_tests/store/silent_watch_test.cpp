#include "store/simulated_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace fireflysail;
using namespace fireflysail::testing;
using namespace std::chrono_literals;

// Guards against views that are old without a sign, as the connections of their
// watches went silent.
TEST_CASE("silent watches hide no change for longer than the bound")
{
    const std::size_t size = GENERATE(1, 2, 3, 9, 30);
    const duration lag = GENERATE(0ms, 800ms, 3s);
    const double share = GENERATE(0.3, 1.0);
    const duration lost_at = GENERATE(0ms, 330ms, 700ms, 950ms);
    const duration changed_after = GENERATE(0ms, 500ms, 1s, 3'100ms);
    const bool loses_first = GENERATE(false, true);
    CAPTURE(size, lag, share, lost_at, changed_after, loses_first);
    simulated_fleet fleet{size, lag, 7};
    const time_point lost = calm + lost_at;
    fleet.run_until(lost);
    fleet.lose_connections(share);
    if (loses_first && size > 1)
    {
        fleet.stop(0);
    }
    const time_point changed = lost + changed_after;
    const change_serial change = fleet.history.change_at(changed);
    fleet.run_until(std::max(changed + bound, lost + contact));
    CHECK(fleet.all_have_seen(change));
}

// Guards against copies that lag and are read on while changes come fast.
TEST_CASE("each change of a storm is in all views within the bound")
{
    const std::size_t size = GENERATE(1, 7, 9, 30);
    const duration lag = GENERATE(0ms, 800ms, 3s, 10s);
    const duration gap = GENERATE(50ms, 330ms, 700ms);
    CAPTURE(size, lag, gap);
    simulated_fleet fleet{size, lag, 7};
    std::vector<time_point> changes;
    for (time_point when = calm; when < calm + 6s; when += gap)
    {
        changes.push_back(when);
        fleet.history.change_at(when);
    }
    change_serial serial = 0;
    for (const time_point change : changes)
    {
        ++serial;
        fleet.run_until(change + bound);
        CHECK(fleet.all_have_seen(serial));
    }
}

TEST_CASE("a calm fleet of any size reads the store about as often")
{
    const std::size_t size = GENERATE(1, 9, 90);
    CAPTURE(size);
    simulated_fleet fleet{size, 800ms, 7};
    fleet.run_until(calm);
    const std::size_t before = fleet.calls();
    fleet.run_until(calm + 60s);
    // One a second that confirms all views, and the long watches.
    CHECK(fleet.calls() - before <= 60 + size * 5);
}
