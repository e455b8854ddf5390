#include "ledger_model.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace fireflysail;

namespace
{

using action = ledger_model::action;
using kind = action::action_kind;

enum class resend_gets
{
    fresh,
    replayed,
    unknown,
};

/// One row of the crash point table in docs/design/ledger.md.
struct crash_point
{
    std::string name;
    std::vector<action> steps;
    resend_gets without_lookup;
    resend_gets with_lookup;
    int runs_before_resend;
};

const action execute{kind::carry_out, 0};
const action process{kind::process, 0};

std::vector<action> after(std::vector<action> steps, const action& next)
{
    steps.push_back(next);
    return steps;
}

std::vector<crash_point> crash_points()
{
    using enum resend_gets;
    const std::vector<action> begun{{kind::start, 0}};
    const std::vector<action> claimed = after(begun, execute);
    const std::vector<action> confirmed = after(claimed, process);
    const std::vector<action> marked = after(confirmed, execute);
    const std::vector<action> ran = after(marked, execute);
    const std::vector<action> answered = after(ran, process);
    const std::vector<action> recorded = after(answered, execute);
    const std::vector<action> told = after(after(recorded, process), execute);
    const std::vector<action> lost_claim =
        after(begun, {kind::carry_out, 0, message_fate::answer_lost});
    const std::vector<action> no_claim =
        after(begun, {kind::carry_out, 0, message_fate::request_lost});
    const std::vector<action> refused =
        after(marked, {kind::carry_out, 0, message_fate::refused});
    const std::vector<action> to_release = after(refused, process);
    const std::vector<action> released = after(to_release, execute);
    const std::vector<action> silent =
        after(marked, {kind::carry_out, 0, message_fate::answer_lost});
    const std::vector<action> looked_up =
        after(after(silent, process), execute);
    return {
        {"B1 begun", begun, fresh, fresh, 0},
        {"B2 claim write lost", no_claim, fresh, fresh, 0},
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
            model_options options;
            options.service_lookup = lookup;
            ledger_model model{options};
            for (const action& step : point.steps)
            {
                model.take(step);
            }
            model.take({kind::crash, 0});
            REQUIRE(model.runs() == point.runs_before_resend);

            const ledger_answer answer = model.resend_through(1);
            CHECK(
                sort_of(answer) ==
                (lookup ? point.with_lookup : point.without_lookup));
            CHECK(model.runs() <= 1);
            CHECK(model.violations().empty());
        }
    }
}

TEST_CASE("a send that takes over may crash at any point of it")
{
    const model_options options;
    ledger_model model{options};
    // The first send is paused with its claim confirmed.
    for (const kind next : {kind::start, kind::carry_out, kind::process})
    {
        model.take({next, 0});
    }
    const auto second = [&model](kind next)
    {
        model.take({next, 1});
    };
    second(kind::start);
    for (int call = 0; call < 2; ++call)
    {
        // The create fails with a conflict, then the read returns the claim.
        second(kind::carry_out);
        second(kind::process);
    }
    REQUIRE(std::holds_alternative<ask_claimant>(model.next_command(1)));

    SECTION("T1 before it asked")
    {
        second(kind::crash);
        const ledger_answer answer = model.resend_through(0);
        // The first send is still in flight on this instance and may continue.
        CHECK(sort_of(answer) == resend_gets::unknown);
        CHECK(model.runs() == 0);
    }
    SECTION("T2 after the claimant disowned it")
    {
        second(kind::carry_out);
        second(kind::crash);
        // The first send resumes, and must not dispatch any more.
        model.take({kind::carry_out, 0});
        CHECK(model.runs() == 0);
        CHECK(sort_of(model.resend_through(0)) == resend_gets::fresh);
        CHECK(model.runs() == 1);
    }
    SECTION("T3 with the claim taken over")
    {
        second(kind::carry_out);
        second(kind::process);
        second(kind::carry_out);
        second(kind::crash);
        model.take({kind::carry_out, 0});
        CHECK(model.runs() == 0);
        CHECK(sort_of(model.resend_through(0)) == resend_gets::unknown);
    }
    CHECK(model.violations().empty());
}
