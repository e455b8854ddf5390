#include "store/simulated_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace fireflysail;
using namespace fireflysail::testing;
using namespace std::chrono_literals;

namespace
{

/// What happens to the store and the connections to it.
struct restore_script
{
    /// Before the store goes away it changes this often, if at all.
    std::optional<duration> busy;
    duration age{};
    duration away{};
    /// Share of the instances whose connections go silent then.
    double silent = 0;
    duration changed_after{};
};

/// Plays the script and returns whether the change after the return was in all
/// views in time.
bool is_seen_in_time(simulated_fleet& fleet, const restore_script& script)
{
    const time_point gone = calm + 370ms;
    if (script.busy)
    {
        for (time_point when = calm - 8s; when < gone; when += *script.busy)
        {
            fleet.history.change_at(when);
        }
    }
    fleet.set_silent_when_away(script.silent);
    fleet.history.restore_at(gone, script.away, script.age);
    const time_point back = gone + script.away;
    const time_point changed = back + script.changed_after;
    const change_serial change = fleet.history.change_at(changed);
    fleet.run_until(std::max(changed + bound, back + contact));
    return fleet.all_have_seen(change);
}

} // namespace

// Guards against views that stay ahead of a store which came back older.
TEST_CASE("a restored store hides no change for longer than the bound")
{
    const std::size_t size = GENERATE(1, 2, 3, 9, 30);
    const duration lag = GENERATE(0ms, 800ms, 3s);
    restore_script script;
    script.busy =
        GENERATE(std::optional<duration>{}, std::optional<duration>{130ms});
    script.age = GENERATE(1s, 6s);
    script.away = GENERATE(0ms, 300ms, 1'500ms);
    script.silent = GENERATE(0.0, 0.4, 1.0);
    script.changed_after = GENERATE(0ms, 700ms, 1'900ms, 4s);
    const std::uint64_t seed = GENERATE(7, 8);
    CAPTURE(
        size,
        lag,
        script.busy.has_value(),
        script.age,
        script.away,
        script.silent,
        script.changed_after,
        seed);
    simulated_fleet fleet{size, lag, seed};
    CHECK(is_seen_in_time(fleet, script));
    CHECK_FALSE(fleet.any_went_back());
}

// Guards against views that stay ahead of all but the last of several copies.
TEST_CASE("a store that is restored again and again hides no change")
{
    const std::size_t size = GENERATE(1, 3, 9, 30);
    const duration lag = GENERATE(0ms, 800ms, 3s);
    const duration gap = GENERATE(50ms, 650ms, 2'300ms);
    const double silent = GENERATE(0.0, 0.4);
    CAPTURE(size, lag, gap, silent);
    simulated_fleet fleet{size, lag, 7};
    fleet.set_silent_when_away(silent);
    time_point when = calm;
    change_serial change = 0;
    for (int restore = 0; restore < 4; ++restore)
    {
        for (int written = 0; written < 5; ++written)
        {
            when += gap;
            change = fleet.history.change_at(when);
        }
        fleet.history.restore_at(when + 10ms, 200ms, gap * 3);
        when += 300ms;
        change = fleet.history.change_at(when);
    }
    fleet.run_until(when + contact);
    CHECK(fleet.all_have_seen(change));
    CHECK_FALSE(fleet.any_went_back());
}

TEST_CASE("without eras a restored store hides changes")
{
    const std::size_t size = GENERATE(1, 9);
    simulated_fleet fleet{size, 0ms, 7, scripted_history::eras::left_out};
    CHECK_FALSE(is_seen_in_time(
        fleet,
        {.busy = 130ms, .age = 6s, .away = 300ms, .changed_after = 0ms}));
}
