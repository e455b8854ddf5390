#include "store/budgeted_store.hpp"

#include "store_model.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace std::chrono_literals;

TEST_CASE("status reports run dry before claims do")
{
    manual_clock time;
    call_budget budget{{100, 100}, time.now()};
    int status = 0;
    int claims = 0;
    int resolved = 0;
    while (budget.take(call_type::write, call_priority::status, time.now()))
    {
        status += 1;
    }
    while (budget.take(call_type::write, call_priority::claim, time.now()))
    {
        claims += 1;
    }
    while (budget.take(call_type::write, call_priority::resolve, time.now()))
    {
        resolved += 1;
    }
    CHECK(status == 50);
    CHECK(claims == 40);
    CHECK(resolved == 10);
    // Reads have a budget of their own.
    CHECK(budget.take(call_type::read, call_priority::status, time.now()));
}

TEST_CASE("over any time no more calls are sent than the rate allows")
{
    manual_clock time;
    store_model inner{time};
    call_budget budget{{50, 20}, time.now()};
    budgeted_store claims{inner, budget, call_priority::claim, time};
    int refused = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        const auto got =
            claims.create({"claim", std::to_string(i)}, "x", time.now() + 1s);
        if (!got)
        {
            CHECK(got.error() == errc::over_budget);
            refused += 1;
        }
        time.advance(1ms);
    }
    const auto sent =
        inner.truth().calls[static_cast<std::size_t>(store_call::create)];
    // Ten seconds at 20 a second, and a full bucket at the start.
    CHECK(sent <= 220);
    CHECK(sent >= 200);
    CHECK(sent + static_cast<std::uint64_t>(refused) == 10'000);
}

TEST_CASE("even a tiny share lets a status report through at times")
{
    manual_clock time;
    call_budget budget{{0.1, 0.1}, time.now()};
    int granted = 0;
    for (int i = 0; i < 100; ++i)
    {
        time.advance(1s);
        granted +=
            budget.take(call_type::write, call_priority::status, time.now())
                ? 1
                : 0;
    }
    CHECK(granted >= 9);
}
