#include "ledger_world.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace fireflysail;

namespace
{

using action = ledger_world::action;
using sort = action::sort;

enum class resend_gets
{
    fresh,
    replayed,
    unknown,
};

/// One row of the table of crash points in docs/design/ledger.md.
struct crash_point
{
    std::string name;
    std::vector<action> steps;
    resend_gets without_lookup;
    resend_gets with_lookup;
    int runs_before_resend;
};

const action execute{sort::carry_out, 0};
const action process{sort::process, 0};

std::vector<action> after(std::vector<action> steps, const action& next)
{
    steps.push_back(next);
    return steps;
}

std::vector<crash_point> crash_points()
{
    using enum resend_gets;
    const std::vector<action> begun{{sort::start, 0}};
    const std::vector<action> claimed = after(begun, execute);
    const std::vector<action> confirmed = after(claimed, process);
    const std::vector<action> marked = after(confirmed, execute);
    const std::vector<action> ran = after(marked, execute);
    const std::vector<action> answered = after(ran, process);
    const std::vector<action> recorded = after(answered, execute);
    const std::vector<action> told = after(after(recorded, process), execute);
    const std::vector<action> lost_claim =
        after(begun, {sort::carry_out, 0, fate::answer_lost});
    const std::vector<action> no_claim =
        after(begun, {sort::carry_out, 0, fate::request_lost});
    const std::vector<action> refused =
        after(marked, {sort::carry_out, 0, fate::refused});
    const std::vector<action> to_release = after(refused, process);
    const std::vector<action> released = after(to_release, execute);
    const std::vector<action> silent =
        after(marked, {sort::carry_out, 0, fate::answer_lost});
    const std::vector<action> looked_up =
        after(after(silent, process), execute);
    return {
        {"B1 begun", begun, fresh, fresh, 0},
        {"B2 claim lost on the way", no_claim, fresh, fresh, 0},
        {"C1 claim written", claimed, unknown, unknown, 0},
        {"C2 claim written, answer lost", lost_claim, unknown, unknown, 0},
        {"C3 claim confirmed", confirmed, unknown, unknown, 0},
        {"D1 marked as dispatched", marked, unknown, unknown, 0},
        {"D2 service ran", ran, unknown, replayed, 1},
        {"D3 answer received", answered, unknown, replayed, 1},
        {"D4 service ran, answer lost", silent, unknown, replayed, 1},
        {"D5 looked up", looked_up, unknown, replayed, 1},
        {"E1 outcome written", recorded, replayed, replayed, 1},
        {"E2 caller told", told, replayed, replayed, 1},
        {"R1 service refused", refused, unknown, unknown, 0},
        {"R2 release due", to_release, unknown, unknown, 0},
        {"R3 release written", released, fresh, fresh, 0},
    };
}

resend_gets sort_of(const ledger_answer& answer)
{
    if (std::holds_alternative<fresh_response>(answer))
    {
        return resend_gets::fresh;
    }
    if (std::holds_alternative<replayed_response>(answer))
    {
        return resend_gets::replayed;
    }
    REQUIRE(std::holds_alternative<ledger_unknown>(answer));
    return resend_gets::unknown;
}

} // namespace

TEST_CASE("a resend after a crash gets what the table of crash points says")
{
    for (const crash_point& point : crash_points())
    {
        for (const bool lookup : {false, true})
        {
            INFO(point.name << (lookup ? ", with lookup" : ""));
            world_options options;
            options.service_lookup = lookup;
            ledger_world world{options};
            for (const action& step : point.steps)
            {
                world.take(step);
            }
            world.take({sort::crash, 0});
            REQUIRE(world.runs() == point.runs_before_resend);

            const ledger_answer answer = world.resend_through(1);
            CHECK(
                sort_of(answer) ==
                (lookup ? point.with_lookup : point.without_lookup));
            CHECK(world.runs() <= 1);
            CHECK(world.broken().empty());
        }
    }
}

TEST_CASE("a send that takes over may crash at any point of it")
{
    const world_options options;
    ledger_world world{options};
    // The first send is paused with its claim confirmed.
    for (const sort what : {sort::start, sort::carry_out, sort::process})
    {
        world.take({what, 0});
    }
    const auto second = [&world](sort what)
    {
        world.take({what, 1});
    };
    second(sort::start);
    for (int call = 0; call < 2; ++call)
    {
        // A refused create, then the read that shows the claim.
        second(sort::carry_out);
        second(sort::process);
    }
    REQUIRE(std::holds_alternative<ask_claimant>(world.next_command(1)));

    SECTION("T1 before it asked")
    {
        second(sort::crash);
        const ledger_answer answer = world.resend_through(0);
        // The first send is still in flight here and may go on.
        CHECK(sort_of(answer) == resend_gets::unknown);
        CHECK(world.runs() == 0);
    }
    SECTION("T2 with the claimant's word")
    {
        second(sort::carry_out);
        second(sort::crash);
        // The first wakes up, and must not dispatch any more.
        world.take({sort::carry_out, 0});
        CHECK(world.runs() == 0);
        CHECK(sort_of(world.resend_through(0)) == resend_gets::fresh);
        CHECK(world.runs() == 1);
    }
    SECTION("T3 with the claim taken over")
    {
        second(sort::carry_out);
        second(sort::process);
        second(sort::carry_out);
        second(sort::crash);
        world.take({sort::carry_out, 0});
        CHECK(world.runs() == 0);
        CHECK(sort_of(world.resend_through(0)) == resend_gets::unknown);
    }
    CHECK(world.broken().empty());
}
