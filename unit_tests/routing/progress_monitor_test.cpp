#include "routing/idle_connection_policy.hpp"
#include "routing/progress_monitor.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace fireflysail;
using namespace std::chrono_literals;

TEST_CASE("the timeout for a silent stream depends on its step time")
{
    const time_point start{};
    progress_monitor monitor{{}, 400ms, 40ms, start};
    CHECK_FALSE(monitor.is_silent(start + 900ms));
    CHECK(monitor.is_silent(start + 1250ms));

    time_point now = start + 400ms;
    for (int i = 0; i < 50; ++i)
    {
        monitor.on_progress(now);
        now += 40ms;
    }
    const time_point last = now - 40ms;
    CHECK(monitor.silent_at() - last >= 120ms);
    CHECK(monitor.silent_at() - last <= 250ms);
}

TEST_CASE("jitter and slower steps cause no false detection")
{
    std::mt19937_64 random{11};
    std::uniform_int_distribution<int> jitter{-20, 40};
    progress_monitor monitor{{}, 200ms, 40ms, time_point{}};
    time_point now = time_point{} + 200ms;
    int alarms = 0;
    for (int i = 0; i < 5000; ++i)
    {
        alarms += monitor.is_silent(now) ? 1 : 0;
        monitor.on_progress(now);
        const int base = i < 2500 ? 40 : 90;
        now += std::chrono::milliseconds{base + jitter(random)};
    }
    CHECK(alarms == 0);
    CHECK(monitor.step() > 70ms);
}

TEST_CASE(
    "each attempt without progress doubles the timeout of the first token")
{
    const time_point start{};
    const progress_monitor first{{}, 100ms, 30ms, start};
    progress_monitor third{{}, 100ms, 30ms, start, 2};
    const duration margin = progress_monitor::options{}.margin;
    CHECK(
        third.silent_at() - start - margin ==
        4 * (first.silent_at() - start - margin));
    third.on_progress(start + 1s);
    CHECK(third.silent_at() - start <= 1200ms);
}

TEST_CASE("a server that hangs is distinguished from a lost connection")
{
    const time_point stopped = time_point{} + 1h;
    CHECK(has_stalled({stopped + 20ms, 5}, stopped, 30ms));
    CHECK_FALSE(has_stalled({stopped + 100ms, 5}, stopped, 30ms));
    CHECK_FALSE(has_stalled({stopped, 1}, stopped, 30ms));
}

TEST_CASE("no timeout exceeds the maximum")
{
    const time_point start{};
    progress_monitor::options chosen;
    chosen.max_timeout = 5s;
    const progress_monitor monitor{chosen, 60s, 1s, start};
    CHECK(monitor.silent_at() == start + 5s);
}

TEST_CASE("the idle time up to which connections are trusted is learned")
{
    idle_connection_policy rule{{}};
    const time_point now = time_point{} + 1h;
    using enum connection_decision;
    CHECK(rule.decide(now - 4s, work_kind::stream, now) == use);
    CHECK(rule.decide(now - 6s, work_kind::stream, now) == validate);
    CHECK(rule.decide(now - 30s, work_kind::stream, now) == discard);

    rule.on_dead(4s);
    CHECK(rule.decide(now - 3s, work_kind::stream, now) == validate);
    CHECK(rule.decide(now - 1s, work_kind::stream, now) == use);

    for (int i = 0; i < 200; ++i)
    {
        rule.on_alive(20s);
    }
    CHECK(rule.trusted_idle_time() > 15s);
    rule.on_dead(40s);
    CHECK(rule.trusted_idle_time() <= 20s);
}

TEST_CASE("non-idempotent work is sent only on recently validated connections")
{
    const idle_connection_policy rule{{}};
    const time_point now = time_point{} + 1h;
    using enum connection_decision;
    CHECK(rule.decide(now - 2s, work_kind::idempotent, now) == use);
    CHECK(rule.decide(now - 2s, work_kind::non_idempotent, now) == validate);
    CHECK(rule.decide(now - 100ms, work_kind::non_idempotent, now) == use);
}
