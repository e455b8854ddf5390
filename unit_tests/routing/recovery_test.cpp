#include "routing/recovery.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const server_id front{"front"};
const server_id back{"back"};
const time_point start{};

struct recovery_fixture
{
    recovery_step
    step(request_recovery& recovery, const attempt_failure& failure)
    {
        return recovery.next_step(
            failure,
            this->view,
            {this->budget, this->pacer, this->random},
            this->now);
    }

    time_point now = start;
    retry_budget budget{{0.1, 0, 100, 3}, start};
    resume_pacer pacer{{2, 10, 0}};
    std::mt19937_64 random{5};
    recovery_view view{
        {{front, {layer_index{0}, layer_index{20}}, true},
         {back, {layer_index{20}, layer_index{40}}, true}},
        true,
        std::nullopt,
        100ms};
};

request_recovery make(work_kind work, time_point deadline = start + 1h)
{
    return request_recovery{{}, work, deadline};
}

attempt_failure fail(failure_kind kind, bool arrived = true)
{
    return {kind, back, arrived};
}

outcome given_up(const recovery_step& step)
{
    REQUIRE(std::holds_alternative<give_up>(step));
    return std::get<give_up>(step).how;
}

} // namespace

TEST_CASE_METHOD(
    recovery_fixture, "a dead stage is replaced and the healthy ones are kept")
{
    auto recovery = make(work_kind::stream);
    recovery.on_delivered(token_index{17});
    const auto chosen = this->step(recovery, fail(failure_kind::stage_died));
    REQUIRE(std::holds_alternative<resume_elsewhere>(chosen));
    const auto& resume = std::get<resume_elsewhere>(chosen);
    CHECK(resume.resume_from == token_index{17});
    REQUIRE(resume.kept.size() == 1);
    CHECK(resume.kept[0].server == front);
    REQUIRE(resume.lost.size() == 1);
    CHECK(resume.lost[0].server == back);
    CHECK(resume.avoid == std::vector{back});
    CHECK(resume.source == kv_source::prefill_again);
}

TEST_CASE_METHOD(
    recovery_fixture, "exported KV cache is imported when that is sooner")
{
    auto recovery = make(work_kind::stream);
    this->view.expected_import = 30ms;
    const auto soon = this->step(recovery, fail(failure_kind::stage_died));
    CHECK(
        std::get<resume_elsewhere>(soon).source == kv_source::import_exported);
    recovery.on_delivered(token_index{1});
    this->view.expected_import = 300ms;
    const auto late = this->step(recovery, fail(failure_kind::stage_died));
    CHECK(std::get<resume_elsewhere>(late).source == kv_source::prefill_again);
}

TEST_CASE_METHOD(
    recovery_fixture,
    "a silent connection is first reopened to the same server")
{
    auto recovery = make(work_kind::stream);
    recovery.on_delivered(token_index{3});
    const auto silent = fail(failure_kind::connection_silent);
    const auto first = this->step(recovery, silent);
    REQUIRE(std::holds_alternative<reconnect_same_server>(first));
    CHECK(std::get<reconnect_same_server>(first).server == back);
    CHECK(std::get<reconnect_same_server>(first).resume_from == token_index{3});
    const auto second = this->step(recovery, silent);
    CHECK(std::holds_alternative<resume_elsewhere>(second));
}

TEST_CASE_METHOD(
    recovery_fixture,
    "all stages are replaced when the one at fault is unknown")
{
    auto recovery = make(work_kind::stream);
    recovery.on_delivered(token_index{3});
    const attempt_failure silent{
        failure_kind::connection_silent, server_id{}, true};
    CHECK(std::holds_alternative<reconnect_same_server>(
        this->step(recovery, silent)));
    const auto second = this->step(recovery, silent);
    const auto& resume = std::get<resume_elsewhere>(second);
    CHECK(resume.lost.size() == 2);
    CHECK(resume.kept.empty());
    CHECK(resume.avoid == std::vector{front, back});
    CHECK(recovery.attempts_without_progress() == 1);

    this->view.stages[0].healthy = false;
    const auto third = this->step(recovery, silent);
    CHECK(std::get<resume_elsewhere>(third).lost.size() == 1);
}

TEST_CASE_METHOD(
    recovery_fixture, "no connection is reopened to a server known to be dead")
{
    auto recovery = make(work_kind::stream);
    this->view.stages[1].healthy = false;
    const auto chosen =
        this->step(recovery, fail(failure_kind::connection_silent));
    CHECK(std::holds_alternative<resume_elsewhere>(chosen));
}

TEST_CASE_METHOD(
    recovery_fixture, "resumes after a loss of many streams are paced")
{
    int at_once = 0;
    time_point latest = start;
    std::vector<request_recovery> lost(12, make(work_kind::stream));
    const auto failure = fail(failure_kind::stage_died);
    for (request_recovery& recovery : lost)
    {
        recovery.on_delivered(token_index{5});
        const auto chosen = this->step(recovery, failure);
        if (const auto* wait = std::get_if<wait_until>(&chosen))
        {
            latest = std::max(latest, wait->when);
            continue;
        }
        ++at_once;
    }
    CHECK(at_once == 2);
    CHECK(latest == start + 1s);
    this->now = latest;
    CHECK(std::holds_alternative<resume_elsewhere>(
        this->step(lost.back(), failure)));
    CHECK(this->budget.left(this->now) == Approx(3));
}

TEST_CASE_METHOD(
    recovery_fixture,
    "attempts without progress use the retry budget and are limited")
{
    auto recovery = make(work_kind::stream);
    int attempts = 0;
    recovery_step chosen = this->step(recovery, fail(failure_kind::stage_died));
    while (!std::holds_alternative<give_up>(chosen))
    {
        attempts += std::holds_alternative<resume_elsewhere>(chosen) ? 1 : 0;
        this->now += 10s;
        chosen = this->step(recovery, fail(failure_kind::stage_died));
    }
    CHECK(attempts == 4);
    CHECK(
        given_up(chosen) == outcome{failed{failed_reason::retries_exhausted}});
    CHECK(this->budget.left(this->now) == Approx(0));
}

TEST_CASE_METHOD(
    recovery_fixture, "a stream waits a limited time for a replacement")
{
    auto recovery = make(work_kind::stream);
    recovery.on_delivered(token_index{4});
    this->view.replacement_exists = false;
    const auto failure = fail(failure_kind::stage_died);
    int waits = 0;
    recovery_step chosen = this->step(recovery, failure);
    while (const auto* wait = std::get_if<wait_until>(&chosen))
    {
        REQUIRE(wait->when > this->now);
        this->now = wait->when;
        ++waits;
        chosen = this->step(recovery, failure);
    }
    CHECK(waits < 80);
    CHECK(this->now >= start + 30s);
    CHECK(this->now <= start + 32s);
    given_up(chosen);
}

TEST_CASE_METHOD(
    recovery_fixture,
    "a replacement that becomes available while waiting is used")
{
    auto recovery = make(work_kind::stream);
    const auto failure = fail(failure_kind::stage_died);
    this->view.replacement_exists = false;
    const auto wait = this->step(recovery, failure);
    this->now = std::get<wait_until>(wait).when;
    this->view.replacement_exists = true;
    CHECK(std::holds_alternative<resume_elsewhere>(
        this->step(recovery, failure)));
}

TEST_CASE_METHOD(recovery_fixture, "nothing is retried after the deadline")
{
    auto recovery = make(work_kind::stream, start + 1s);
    this->now = start + 1s;
    const auto chosen =
        this->step(recovery, fail(failure_kind::connect_failed, false));
    CHECK(
        std::get<did_not_run>(given_up(chosen)).reason ==
        did_not_run_reason::deadline);
    recovery.on_delivered(token_index{1});
    CHECK(
        given_up(this->step(recovery, fail(failure_kind::stage_died))) ==
        outcome{failed{failed_reason::deadline}});
}

TEST_CASE_METHOD(
    recovery_fixture,
    "a non-streaming idempotent call is retried within the budget")
{
    this->view.stages.clear();
    int retried = 0;
    for (int i = 0; i < 10; ++i)
    {
        auto recovery = make(work_kind::idempotent);
        const auto chosen =
            this->step(recovery, fail(failure_kind::connect_failed, false));
        if (std::holds_alternative<resume_elsewhere>(chosen))
        {
            ++retried;
            continue;
        }
        CHECK(std::holds_alternative<did_not_run>(given_up(chosen)));
    }
    CHECK(retried == 3);
}

TEST_CASE_METHOD(
    recovery_fixture,
    "a non-idempotent call is never sent again once a byte may have arrived")
{
    this->view.stages.clear();
    for (const failure_kind kind :
         {failure_kind::connection_reset,
          failure_kind::connection_silent,
          failure_kind::stage_died,
          failure_kind::link_degraded})
    {
        auto recovery = make(work_kind::non_idempotent);
        CHECK(
            given_up(this->step(recovery, fail(kind))) ==
            outcome{outcome_unknown{}});
        CHECK(
            given_up(this->step(
                recovery, fail(failure_kind::connect_failed, false))) ==
            outcome{outcome_unknown{}});
    }
}

TEST_CASE_METHOD(
    recovery_fixture, "a non-idempotent call that did not arrive is retried")
{
    this->view.stages.clear();
    for (const failure_kind kind :
         {failure_kind::connect_failed, failure_kind::overloaded})
    {
        auto recovery = make(work_kind::non_idempotent);
        const auto chosen = this->step(recovery, fail(kind, false));
        CHECK(std::holds_alternative<resume_elsewhere>(chosen));
    }
    this->view.replacement_exists = false;
    auto recovery = make(work_kind::non_idempotent, start + 1ms);
    this->step(recovery, fail(failure_kind::connect_failed, false));
    this->now += 1s;
    CHECK(std::holds_alternative<did_not_run>(given_up(
        this->step(recovery, fail(failure_kind::connect_failed, false)))));
}

TEST_CASE_METHOD(
    recovery_fixture, "an error reported by the backend server is passed on")
{
    for (const work_kind work :
         {work_kind::stream, work_kind::idempotent, work_kind::non_idempotent})
    {
        auto recovery = make(work);
        CHECK(
            given_up(this->step(recovery, fail(failure_kind::backend_error))) ==
            outcome{failed{failed_reason::backend_error}});
    }
}

TEST_CASE_METHOD(
    recovery_fixture,
    "random failures: did_not_run is returned only when nothing ran")
{
    std::mt19937_64 draw{99};
    for (int run = 0; run < 3000; ++run)
    {
        const auto work = static_cast<work_kind>(draw() % 3);
        auto recovery = make(work, this->now + 5s);
        bool may_have_run = false;
        int dispatches_after_arrival = 0;
        for (int i = 0; i < 200; ++i)
        {
            const auto kind = static_cast<failure_kind>(draw() % 7);
            const bool safe = kind == failure_kind::connect_failed ||
                              kind == failure_kind::overloaded;
            const bool arrived = !safe && draw() % 2 == 0;
            may_have_run = may_have_run || arrived;
            recovery_step chosen = this->step(recovery, fail(kind, arrived));
            while (const auto* wait = std::get_if<wait_until>(&chosen))
            {
                this->now = std::max(this->now, wait->when);
                chosen = this->step(recovery, fail(kind, arrived));
            }
            if (const auto* end = std::get_if<give_up>(&chosen))
            {
                if (std::holds_alternative<did_not_run>(end->how))
                {
                    REQUIRE_FALSE(may_have_run);
                }
                if (std::holds_alternative<outcome_unknown>(end->how))
                {
                    REQUIRE(work == work_kind::non_idempotent);
                }
                break;
            }
            dispatches_after_arrival += may_have_run ? 1 : 0;
            if (draw() % 4 == 0)
            {
                this->budget.credit(this->now);
            }
        }
        if (work == work_kind::non_idempotent)
        {
            REQUIRE(dispatches_after_arrival == 0);
        }
    }
}
