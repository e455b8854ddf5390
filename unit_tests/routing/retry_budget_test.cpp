#include "routing/hedge.hpp"
#include "routing/resume_pacer.hpp"
#include "routing/retry_budget.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

TEST_CASE("retries are limited to a share of the requests")
{
    const time_point now{};
    retry_budget budget{{0.1, 0, 100, 5}, now};
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.credit(now);
        retries += budget.try_take(now) ? 1 : 0;
    }
    CHECK(retries <= 105);
    CHECK(retries >= 100);
}

TEST_CASE("retries do not multiply the load of a failing service")
{
    const time_point now{};
    retry_budget budget{{0.1, 0, 100, 5}, now};
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        retries += budget.try_take(now) ? 1 : 0;
    }
    CHECK(retries == 5);
    budget.give_back(now);
    CHECK(budget.try_take(now));
    CHECK_FALSE(budget.try_take(now));
    CHECK(budget.try_take(now + 1h) == false);
}

TEST_CASE("the budget refills over time up to its capacity")
{
    const time_point now{};
    retry_budget budget{{0.1, 1, 3, 0}, now};
    CHECK_FALSE(budget.try_take(now));
    CHECK(budget.try_take(now + 1s));
    CHECK(budget.left(now + 1h) == Approx(3));
}

TEST_CASE("single resumes are immediate and mass resumes follow the set rate")
{
    std::mt19937_64 random{3};
    resume_pacer pacer{{4, 50, 0.25}};
    pacer.set_rate(100);
    const time_point now{};
    std::vector<time_point> turns;
    for (int i = 0; i < 200; ++i)
    {
        turns.push_back(pacer.reserve(now, random));
    }
    CHECK(std::ranges::count(turns, now) == 4);
    CHECK(std::ranges::max(turns) >= now + 1900ms);
    CHECK(std::ranges::max(turns) <= now + 2500ms);
    for (int second = 0; second < 2; ++second)
    {
        const auto begin = now + std::chrono::milliseconds{second * 1000 + 1};
        const auto in_second = std::ranges::count_if(
            turns,
            [&](time_point turn)
            {
                return turn >= begin && turn < begin + 1s;
            });
        CHECK(in_second <= 130);
        CHECK(in_second >= 60);
    }
    CHECK(pacer.reserve(now + 10s, random) == now + 10s);
}

TEST_CASE("hedging waits for the slow tail and applies only to a long tail")
{
    hedge_policy hedge{{}};
    CHECK_FALSE(hedge.delay(work_kind::idempotent).has_value());
    for (int i = 0; i < 1000; ++i)
    {
        hedge.on_response(i % 20 == 0 ? 400ms : 10ms);
    }
    const auto delay = hedge.delay(work_kind::idempotent);
    REQUIRE(delay.has_value());
    CHECK(*delay >= 10ms);
    CHECK(*delay <= 500ms);
    CHECK_FALSE(hedge.delay(work_kind::non_idempotent).has_value());
    CHECK_FALSE(hedge.delay(work_kind::stream).has_value());

    hedge_policy even{{}};
    for (int i = 0; i < 1000; ++i)
    {
        even.on_response(std::chrono::milliseconds{10 + i % 3});
    }
    CHECK_FALSE(even.delay(work_kind::idempotent).has_value());
}

TEST_CASE("hedges are taken from the retry budget")
{
    const time_point now{};
    hedge_policy hedge{{}};
    for (int i = 0; i < 1000; ++i)
    {
        hedge.on_response(i % 20 == 0 ? 400ms : 10ms);
    }
    retry_budget budget{{0.1, 0, 100, 2}, now};
    CHECK(hedge.try_hedge(work_kind::idempotent, budget, now));
    CHECK_FALSE(hedge.try_hedge(work_kind::non_idempotent, budget, now));
    CHECK(hedge.try_hedge(work_kind::idempotent, budget, now));
    CHECK_FALSE(hedge.try_hedge(work_kind::idempotent, budget, now));
}

TEST_CASE("the histogram of response times forgets old samples")
{
    response_time_histogram histogram;
    for (int i = 0; i < 20000; ++i)
    {
        histogram.observe(100ms);
    }
    for (int i = 0; i < 5000; ++i)
    {
        histogram.observe(10ms);
    }
    CHECK(histogram.quantile(0.99) < 15ms);
    CHECK(histogram.quantile(0.5) >= 10ms);
}

TEST_CASE("a reconfigured budget keeps no more than its new capacity")
{
    const time_point now{1h};
    retry_budget budget{{0.1, 0, 10, 10}, now};
    budget.configure({0.1, 0, 3, 3}, now);
    CHECK(budget.left(now) == Approx(3));
    budget.configure({0.1, 0, 10, 10}, now);
    CHECK(budget.left(now) == Approx(3));
}
