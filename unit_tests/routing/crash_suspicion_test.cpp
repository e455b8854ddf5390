#include "routing/crash_suspicion.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 1h;

server_id server(int number)
{
    return server_id{fmt::format("engine-{}", number)};
}

std::vector<request_in_flight>
in_flight(const std::vector<std::uint64_t>& prints)
{
    std::vector<request_in_flight> requests;
    for (const std::uint64_t print : prints)
    {
        requests.push_back({fingerprint{print}, token_index{3}});
    }
    return requests;
}

suspicion_level
level_of(const crash_suspicion& crashes, std::uint64_t print, time_point now)
{
    return crashes.status_of(fingerprint{print}, now).level;
}

} // namespace

TEST_CASE("the second crash quarantines its cause and no other request")
{
    crash_suspicion crashes{{}};
    const auto first = crashes.on_loss(
        server(1), loss_kind::crash, in_flight({7, 8, 9}), start);
    CHECK(first == std::vector(3, crash_verdict::retry_isolated));

    const std::vector other{server(2)};
    REQUIRE(crashes.try_isolate(fingerprint{7}, other, start));
    const auto second = crashes.on_loss(
        server(2), loss_kind::crash, in_flight({7, 50, 51}), start + 10s);
    CHECK(
        second == std::vector{
                      crash_verdict::quarantined,
                      crash_verdict::retry_freely,
                      crash_verdict::retry_freely});
    const auto judged = crashes.status_of(fingerprint{7}, start + 11s);
    CHECK(judged.level == suspicion_level::quarantined);
    CHECK(judged.retry_after == 119s);
    CHECK(level_of(crashes, 8, start + 11s) == suspicion_level::suspect);
    CHECK(level_of(crashes, 50, start + 11s) == suspicion_level::normal);
    CHECK_FALSE(crashes.runs_suspect(server(2)));
}

TEST_CASE("suspects are isolated, each with one attempt at a time")
{
    crash_suspicion crashes{{}};
    crashes.on_loss(server(1), loss_kind::crash, in_flight({7, 8}), start);
    const std::vector shared{server(2), server(3)};
    const std::vector other{server(4)};
    REQUIRE(crashes.try_isolate(fingerprint{7}, shared, start));
    CHECK(crashes.runs_suspect(server(3)));
    CHECK_FALSE(
        crashes.try_isolate(fingerprint{8}, std::vector{server(3)}, start));
    CHECK_FALSE(crashes.try_isolate(fingerprint{7}, other, start));
    CHECK(crashes.try_isolate(fingerprint{8}, other, start));
    crashes.on_interrupted(fingerprint{7});
    CHECK_FALSE(crashes.runs_suspect(server(3)));
    CHECK(level_of(crashes, 7, start) == suspicion_level::suspect);
}

TEST_CASE("a suspect that gets past the crash point or completes is cleared")
{
    crash_suspicion crashes{{}};
    crashes.on_loss(server(1), loss_kind::crash, in_flight({7, 8}), start);
    REQUIRE(crashes.try_isolate(fingerprint{7}, std::vector{server(2)}, start));
    crashes.on_progress(fingerprint{7}, token_index{3});
    CHECK(level_of(crashes, 7, start) == suspicion_level::suspect);
    crashes.on_progress(fingerprint{7}, token_index{4});
    CHECK(level_of(crashes, 7, start) == suspicion_level::normal);
    CHECK_FALSE(crashes.runs_suspect(server(2)));
    crashes.on_completed(fingerprint{8});
    CHECK(level_of(crashes, 8, start) == suspicion_level::normal);
}

TEST_CASE("a planned stop makes no suspects")
{
    crash_suspicion crashes{{}};
    for (int i = 0; i < 3; ++i)
    {
        const auto verdicts = crashes.on_loss(
            server(i), loss_kind::planned, in_flight({7, 8}), start + i * 1min);
        CHECK(verdicts == std::vector(2, crash_verdict::retry_freely));
    }
}

TEST_CASE(
    "the loss of a zone leaves no suspects, not even those of its first losses")
{
    crash_suspicion crashes{{}};
    for (int i = 0; i < 10; ++i)
    {
        const std::uint64_t print = 100 + static_cast<std::uint64_t>(i);
        const auto verdicts = crashes.on_loss(
            server(i), loss_kind::crash, in_flight({print}), start + i * 10ms);
        if (i >= 2)
        {
            CHECK(verdicts[0] == crash_verdict::retry_freely);
        }
    }
    for (std::uint64_t print = 100; print < 110; ++print)
    {
        CHECK(level_of(crashes, print, start + 1s) == suspicion_level::normal);
    }
}

TEST_CASE("a request in flight at two crashes is cleared when it completes")
{
    crash_suspicion crashes{{}};
    crashes.on_loss(server(1), loss_kind::crash, in_flight({7, 8}), start);
    const auto both = crashes.on_loss(
        server(2), loss_kind::crash, in_flight({7, 8}), start + 5s);
    CHECK(both.size() == 2);
    crashes.on_completed(fingerprint{8});
    CHECK(level_of(crashes, 8, start + 6s) == suspicion_level::normal);
}

TEST_CASE(
    "a quarantine ends as suspicion and is extended after a further crash")
{
    crash_suspicion crashes{{}};
    crashes.on_loss(server(1), loss_kind::crash, in_flight({7}), start);
    crashes.on_loss(server(2), loss_kind::crash, in_flight({7}), start + 5s);
    const time_point after = start + 5s + 2min;
    CHECK(level_of(crashes, 7, after - 1ms) == suspicion_level::quarantined);
    CHECK(level_of(crashes, 7, after) == suspicion_level::suspect);
    crashes.on_loss(server(3), loss_kind::crash, in_flight({7, 30}), after);
    CHECK(crashes.status_of(fingerprint{7}, after).retry_after == 8min);
    CHECK(level_of(crashes, 7, after + 1h) == suspicion_level::normal);
}

TEST_CASE("records from peers set quarantines and never shorten them")
{
    crash_suspicion here{{}};
    here.on_loss(server(1), loss_kind::crash, in_flight({7, 8}), start);
    here.on_loss(server(2), loss_kind::crash, in_flight({7}), start + 5s);
    crash_suspicion there{{}};
    const time_point other_clock = time_point{} + 5h;
    for (const crash_record& told : here.export_records(start + 6s))
    {
        there.import_record(told, other_clock);
    }
    CHECK(level_of(there, 7, other_clock) == suspicion_level::quarantined);
    CHECK(level_of(there, 8, other_clock) == suspicion_level::suspect);
    there.import_record({fingerprint{7}, 2, 1, 1s, 1s}, other_clock + 1s);
    CHECK(there.status_of(fingerprint{7}, other_clock + 1s).retry_after > 1min);

    const auto passed_on = there.export_records(other_clock + 1s);
    REQUIRE(passed_on.size() == 1);
    CHECK(passed_on[0].print == fingerprint{7});
}

TEST_CASE("records exchanged between peers still expire")
{
    crash_suspicion a{{}};
    crash_suspicion b{{}};
    a.on_loss(server(1), loss_kind::crash, in_flight({7}), start);
    a.on_loss(server(2), loss_kind::crash, in_flight({7}), start + 1s);
    time_point now = start + 1s;
    for (int i = 0; i < 800; ++i)
    {
        for (const auto& told : a.export_records(now))
        {
            b.import_record(told, now + 20ms);
        }
        for (const auto& told : b.export_records(now))
        {
            a.import_record(told, now + 20ms);
        }
        now += 1s;
    }
    CHECK(level_of(a, 7, now) == suspicion_level::normal);
    CHECK(level_of(b, 7, now) == suspicion_level::normal);
}

TEST_CASE("the number of records is bounded and quarantines in force are kept")
{
    crash_suspicion::options small;
    small.max_records = 100;
    crash_suspicion crashes{small};
    crashes.on_loss(server(0), loss_kind::crash, in_flight({1}), start);
    crashes.on_loss(server(1), loss_kind::crash, in_flight({1}), start + 2s);
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        crashes.on_loss(
            server(2),
            loss_kind::crash,
            in_flight({10 + 2 * i, 11 + 2 * i}),
            start + 4s + i * 10ms);
    }
    CHECK(crashes.export_records(start + 15s).size() <= 102);
    CHECK(level_of(crashes, 1, start + 15s) == suspicion_level::quarantined);
}

TEST_CASE("each backend server has one owner for isolation")
{
    std::vector<instance_id> alive;
    for (int i = 0; i < 9; ++i)
    {
        alive.emplace_back(fmt::format("instance-{}", i));
    }
    std::map<instance_id, int> owned;
    for (int i = 0; i < 900; ++i)
    {
        ++owned[isolation_owner(server(i), alive)];
    }
    CHECK(owned.size() == 9);
    std::ranges::reverse(alive);
    CHECK(
        isolation_owner(server(1), alive) == isolation_owner(server(1), alive));
}

TEST_CASE(
    "random traffic: two crashes identify the cause and no request is lost")
{
    const auto seed = GENERATE(range(1, 31));
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    crash_suspicion crashes{{}};
    constexpr int servers = 12;
    constexpr std::uint64_t cause = 1;
    std::map<int, std::vector<std::uint64_t>> running;
    std::vector<std::uint64_t> isolated_waiting;
    time_point now = start;
    std::uint64_t next = 100;
    int crashes_seen = 0;
    std::size_t submitted = 0;
    std::size_t ended = 0;

    const auto place = [&](std::uint64_t print, int at)
    {
        running[at].push_back(print);
    };
    const auto crash = [&](int at)
    {
        const auto lost = std::exchange(running[at], {});
        const auto verdicts =
            crashes.on_loss(server(at), loss_kind::crash, in_flight(lost), now);
        REQUIRE(verdicts.size() == lost.size());
        for (std::size_t i = 0; i < lost.size(); ++i)
        {
            if (verdicts[i] == crash_verdict::retry_freely)
            {
                place(lost[i], static_cast<int>(random() % servers));
            }
            else if (verdicts[i] == crash_verdict::retry_isolated)
            {
                isolated_waiting.push_back(lost[i]);
            }
            else
            {
                REQUIRE(lost[i] == cause);
                ++ended;
            }
        }
    };
    for (int step = 0; step < 400; ++step)
    {
        now += 200ms;
        const std::uint64_t print = step == 20 ? cause : next++;
        place(print, static_cast<int>(random() % servers));
        ++submitted;
        for (int at = 0; at < servers; ++at)
        {
            if (std::ranges::find(running[at], cause) != running[at].end())
            {
                ++crashes_seen;
                crash(at);
                break;
            }
            if (running[at].size() > 3)
            {
                crashes.on_completed(fingerprint{running[at].front()});
                running[at].erase(running[at].begin());
                ++ended;
            }
        }
        std::erase_if(
            isolated_waiting,
            [&](std::uint64_t waiting)
            {
                const int at = static_cast<int>(random() % servers);
                const std::vector target{server(at)};
                const bool goes =
                    crashes.try_isolate(fingerprint{waiting}, target, now);
                if (goes)
                {
                    place(waiting, at);
                }
                return goes;
            });
    }
    std::size_t left = isolated_waiting.size();
    for (const auto& [at, requests] : running)
    {
        left += requests.size();
    }
    CHECK(crashes_seen == 2);
    CHECK(ended + left == submitted);
    CHECK(level_of(crashes, cause, now) == suspicion_level::quarantined);
}
