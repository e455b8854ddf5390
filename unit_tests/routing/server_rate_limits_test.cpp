#include "routing/server_rate_limits.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const server_id engine{"engine-1"};
constexpr duration window = 4s;

/// Instances that send to one server with a limit, on a virtual clock.
/// Messages reach all at once, unless their receiver does not respond.
struct fleet
{
    explicit fleet(int count)
    {
        for (int number = 0; number < count; ++number)
        {
            this->ids.emplace_back(fmt::format("entry-{}", number));
        }
        for (const instance_id& id : this->ids)
        {
            auto others = this->ids;
            std::erase(others, id);
            auto& limits =
                this->instances
                    .try_emplace(id, id, server_rate_limits::options{})
                    .first->second;
            limits.set_peers(others, 1);
        }
    }

    void name(double limit)
    {
        for (auto& [id, limits] : this->instances)
        {
            limits.on_answer(engine, limit, this->now);
        }
    }

    /// Whether a request of the instance is sent.
    bool send(const instance_id& from)
    {
        auto& asking = this->instances.at(from);
        const server_limit known = asking.limit_of(engine, this->now);
        if (!known.limit)
        {
            return true;
        }
        instance_id owner = asking.owner_of(engine, this->now);
        while (this->stopped.contains(owner))
        {
            this->tell_all(asking.on_silent(owner, this->now));
            owner = asking.owner_of(engine, this->now);
        }
        const rate_grant grant =
            this->instances.at(owner).grant(known, this->now);
        if (!grant.granted)
        {
            asking.on_denied(engine, grant.wait, this->now);
        }
        return grant.granted;
    }

    void tell_all(const owner_presence& told)
    {
        for (auto& [id, limits] : this->instances)
        {
            if (id != told.instance)
            {
                limits.on_presence(told, this->now);
            }
        }
    }

    void stop(const instance_id& id)
    {
        this->instances.at(id).leave();
        this->tell_all({id, owner_state::leaving, 1min});
        this->stopped.insert(id);
    }

    void start(const instance_id& id)
    {
        auto others = this->ids;
        std::erase(others, id);
        this->instances.erase(id);
        auto& limits =
            this->instances.try_emplace(id, id, server_rate_limits::options{})
                .first->second;
        limits.set_peers(others, 1);
        this->stopped.erase(id);
        this->tell_all({id, owner_state::available, {}});
    }

    time_point now{1h};
    std::vector<instance_id> ids;
    std::map<instance_id, server_rate_limits> instances;
    std::set<instance_id> stopped;
};

struct outcome
{
    std::size_t wanted = 0;
    std::size_t sent = 0;
    std::size_t most_in_window = 0;
};

/// Sends at random for 30 s; the first instances send more than the others.
outcome run(fleet& all, double limit, double per_second, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::exponential_distribution<double> pause{per_second};
    std::geometric_distribution<std::size_t> sender{
        std::min(1.0, 3.0 / static_cast<double>(all.ids.size()))};
    outcome result;
    std::deque<time_point> recent;
    const time_point end = all.now + 30s;
    while (true)
    {
        all.now += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{pause(random)});
        if (all.now >= end)
        {
            return result;
        }
        const instance_id& from = all.ids[sender(random) % all.ids.size()];
        if (all.stopped.contains(from))
        {
            continue;
        }
        ++result.wanted;
        if (all.send(from))
        {
            all.name(limit);
            ++result.sent;
            recent.push_back(all.now);
        }
        while (!recent.empty() && all.now - recent.front() > window)
        {
            recent.pop_front();
        }
        result.most_in_window = std::max(result.most_in_window, recent.size());
    }
}

} // namespace

TEST_CASE("a server gets no more than its limit from fleets of any size")
{
    const int count = GENERATE(1, 9, 195);
    const double limit = GENERATE(0.5, 2.0, 9.8, 60.0);
    const double load = GENERATE(0.5, 1.5, 5.0);
    const auto seed = GENERATE(1, 2);
    fleet all{count};
    all.name(limit);
    const auto result =
        run(all, limit, limit * load, static_cast<std::uint64_t>(seed));
    CAPTURE(count, limit, load, result.wanted, result.sent);
    const double allowed =
        limit * std::chrono::duration<double>{window}.count();
    CHECK(static_cast<double>(result.most_in_window) <= allowed * 1.5 + 5);
    // What the server takes is used, whichever instances the requests reach.
    const double possible =
        std::min(static_cast<double>(result.wanted), limit * 30);
    CHECK(static_cast<double>(result.sent) >= possible * 0.7 - 1);
}

TEST_CASE("another instance grants when the owner of a limit stops")
{
    fleet all{9};
    all.name(10);
    all.now += 5s;
    const instance_id owner =
        all.instances.at(all.ids.front()).owner_of(engine, all.now);
    all.stopped.insert(owner);
    const auto result = run(all, 10, 30, 3);
    CHECK(result.most_in_window <= 65);
    CHECK(result.sent >= 270);
    // One that responds again is asked again.
    auto& asking = all.instances.at(
        owner == all.ids.front() ? all.ids.back() : all.ids.front());
    CHECK(asking.owner_of(engine, all.now) != owner);
    asking.on_presence({owner, owner_state::available, {}}, all.now);
    CHECK(asking.owner_of(engine, all.now) == owner);
}

TEST_CASE("owners that stop and start in turn do not add up their grants")
{
    constexpr double limit = 9;
    fleet all{30};
    all.name(limit);
    std::deque<time_point> recent;
    std::size_t most = 0;
    std::mt19937_64 random{5};
    std::optional<instance_id> stopped;
    for (int step = 0; step < 6'000; ++step)
    {
        all.now += 20ms;
        const instance_id& from = all.ids[random() % all.ids.size()];
        if (step % 60 == 0)
        {
            // The one that is asked by this instance.
            stopped = all.instances.at(from).owner_of(engine, all.now);
            all.stop(*stopped);
        }
        if (step % 60 == 40 && stopped)
        {
            all.start(*stopped);
        }
        const bool is_sent = !all.stopped.contains(from) && all.send(from);
        if (is_sent)
        {
            all.name(limit);
            recent.push_back(all.now);
        }
        while (!recent.empty() && all.now - recent.front() > window)
        {
            recent.pop_front();
        }
        most = std::max(most, recent.size());
    }
    CHECK(static_cast<double>(most) <= limit * 4 * 1.5 + 5);
}

TEST_CASE("instances that all stop at once do not each grant a whole limit")
{
    constexpr double limit = 9;
    fleet all{9};
    all.name(limit);
    for (const instance_id& id : all.ids)
    {
        // They go on serving what they have for some seconds.
        all.instances.at(id).leave();
        all.tell_all({id, owner_state::leaving, 1min});
    }
    const auto result = run(all, limit, limit * 5, 6);
    CHECK(static_cast<double>(result.most_in_window) <= limit * 4 * 1.5 + 5);
    CHECK(static_cast<double>(result.sent) >= limit * 30 * 0.7);
}

TEST_CASE("a limit ends when answers no longer name it")
{
    server_rate_limits limits{instance_id{"a"}, server_rate_limits::options{}};
    time_point now{1h};
    CHECK(limits.on_answer(engine, 5, now));
    CHECK_FALSE(limits.on_answer(engine, 5, now));
    CHECK(limits.on_answer(engine, 6, now));
    SECTION("but not by one that was on its way before")
    {
        CHECK_FALSE(limits.on_answer(engine, std::nullopt, now + 10ms));
        CHECK(limits.limit_of(engine, now + 10ms).limit == 6.0);
    }
    SECTION("by a later one")
    {
        CHECK(limits.on_answer(engine, std::nullopt, now + 1s));
        CHECK_FALSE(limits.limit_of(engine, now + 1s).limit);
    }
    SECTION("when another instance tells so")
    {
        limits.on_report({engine, std::nullopt, {}}, now + 1s);
        CHECK_FALSE(limits.limit_of(engine, now + 1s).limit);
    }
    SECTION("when no answer came for long")
    {
        CHECK_FALSE(limits.limit_of(engine, now + 10s).limit);
    }
}

TEST_CASE("what is told of a limit keeps it no longer than its answers")
{
    server_rate_limits one{instance_id{"a"}, server_rate_limits::options{}};
    server_rate_limits other{instance_id{"b"}, server_rate_limits::options{}};
    time_point now{1h};
    one.on_answer(engine, 5, now);
    for (int round = 0; round < 20; ++round)
    {
        now += 1s;
        other.on_report(one.limit_of(engine, now), now);
        one.on_report(other.limit_of(engine, now), now);
    }
    CHECK_FALSE(one.limit_of(engine, now).limit);
    CHECK_FALSE(other.limit_of(engine, now).limit);
}

TEST_CASE("a server that takes nothing is asked now and then")
{
    fleet all{9};
    all.name(0);
    const auto result = run(all, 0, 20, 4);
    CHECK(result.sent >= 3);
    CHECK(result.most_in_window <= 5);
}

TEST_CASE("without known peers an instance takes a small part of a limit")
{
    server_rate_limits limits{instance_id{"a"}, server_rate_limits::options{}};
    limits.set_peers({}, 100);
    time_point now{1h};
    limits.on_answer(engine, 10, now);
    int granted = 0;
    for (int round = 0; round < 1'000; ++round)
    {
        now += 10ms;
        granted += limits.grant({engine, 10, {}}, now).granted ? 1 : 0;
    }
    CHECK(granted <= 2);
}

TEST_CASE("what is kept of servers with limits is bounded")
{
    server_rate_limits limits{instance_id{"a"}, server_rate_limits::options{}};
    const time_point now{1h};
    for (int number = 0; number < 5'000; ++number)
    {
        const server_id server{fmt::format("engine-{}", number)};
        limits.on_answer(server, 1, now);
        limits.grant({server, 1, {}}, now);
    }
    CHECK(limits.limited_count() <= server_rate_limits::options{}.max_servers);
}
