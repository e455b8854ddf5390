#include "common/token_bucket.hpp"
#include "limits/fair_share.hpp"
#include "limits/limit_client.hpp"
#include "limits/limit_owner.hpp"
#include "limits/owner_workspace.hpp"
#include "limits/permit_schedule.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <cmath>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const workspace_id acme{"acme"};
const instance_id self{"a"};

workspace_lease lease_of(double requests)
{
    workspace_lease lease;
    lease.workspace = acme;
    lease.rates = {requests, 0};
    lease.burst = {10, 0};
    lease.tail = {1, 0};
    lease.slots = 100;
    return lease;
}

bool is_granted(limit_client& client, time_point now)
{
    return std::holds_alternative<limit_granted>(
        client.try_acquire(acme, token_count{0}, now));
}

int granted_in(limit_client& client, time_point from, duration length)
{
    int count = 0;
    for (time_point now = from; now < from + length; now += 10ms)
    {
        count += is_granted(client, now) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a bucket starts empty, fills to its cap and keeps its level")
{
    token_bucket bucket;
    time_point now{};
    bucket.configure(10, 5, now);
    CHECK(bucket.level(now) < 0.001);
    CHECK(bucket.level(now + 300ms) == Approx(3));
    CHECK(bucket.level(now + 9s) == Approx(5));
    CHECK(bucket.time_until(2, now) <= 201ms);
    CHECK(bucket.time_until(6, now) == duration::max());
    bucket.configure(1, 2, now + 9s);
    CHECK(bucket.level(now + 9s) == Approx(2));
}

TEST_CASE("the fair level gives no participant more than its demand")
{
    CHECK(fair_level({1, 2, 9, 9}, 11) == Approx(4));
    CHECK(std::isinf(fair_level({1, 2, 3}, 6)));
    CHECK(fair_level({5}, 0) == 0);
}

TEST_CASE("permits are granted at the rate, however they are requested")
{
    permit_schedule schedule;
    schedule.configure({10, 0}, {1, 0});
    const time_point now{1s};
    const permit_reservation first = schedule.reserve(3, 0, 1s, now);
    const permit_reservation second = schedule.reserve(100, 0, 1s, now);
    CHECK(first.block.count == 3);
    CHECK(second.block.delay == 300ms);
    CHECK(second.block.count == 8);
    CHECK(schedule.reserve(1, 0, 1s, now).block.count == 0);

    SECTION("unused permits of the newest block can be reused at once")
    {
        schedule.give_back(second, 8, now + 450ms);
        CHECK(schedule.reserve(1, 0, 1s, now + 450ms).start == now + 500ms);
    }
    SECTION("permits of an older block are granted again in their own slots")
    {
        schedule.give_back(first, 2, now + 50ms);
        const permit_reservation again = schedule.reserve(5, 0, 1s, now + 50ms);
        CHECK(again.block.count == 1);
        CHECK(again.start >= now + 100ms);
        CHECK(again.start <= now + 200ms);
    }
    SECTION("permits whose time has passed are lost")
    {
        schedule.give_back(first, 3, now + 250ms);
        CHECK(schedule.reserve(1, 0, 10s, now + 250ms).start >= now + 1s);
    }
}

TEST_CASE("a lease expires by its holder's clock, from the time of its request")
{
    limit_client client{self};
    time_point now{10s};
    CHECK_FALSE(is_granted(client, now));
    const auto asked = client.tick(now);
    REQUIRE(asked.size() == 1);
    const lease_message reply{self, asked[0].message.sequence, {lease_of(100)}};
    client.receive(reply, now + 5ms);
    CHECK(granted_in(client, now + 1s, 1s) >= 90);
    // The full rate for 6 s after the request, then the equal share for 3 s.
    CHECK(granted_in(client, now + 7s, 1s) <= 12);
    CHECK(granted_in(client, now + 9s, 5s) == 0);
}

TEST_CASE("a late reply, or one for an older message, grants nothing")
{
    limit_client client{self};
    const time_point now{10s};
    CHECK_FALSE(is_granted(client, now));
    const auto first = client.tick(now);
    CHECK_FALSE(is_granted(client, now + 300ms));
    const auto second = client.tick(now + 300ms);
    REQUIRE(second.size() == 1);
    client.receive(
        {self, first[0].message.sequence, {lease_of(100)}}, now + 301ms);
    CHECK(granted_in(client, now + 302ms, 200ms) == 0);
    client.receive(
        {self, second[0].message.sequence, {lease_of(100)}}, now + 310ms);
    CHECK(granted_in(client, now + 400ms, 1s) > 50);
    // A duplicate reply does not extend the lease.
    client.receive(
        {self, second[0].message.sequence, {lease_of(100)}}, now + 6s);
    CHECK(granted_in(client, now + 10s, 5s) == 0);
}

TEST_CASE("a grant counts as in use until its holder reports less")
{
    const limit_timing timing;
    owner_workspace leases{timing};
    const limit_pool pool{{100, 0}, 100, {10, 0}};
    const time_point now{10s};
    workspace_demand demand;
    demand.workspace = acme;
    demand.wanted = {80, 0};
    const auto a = leases.answer(
        instance_id{"a"}, demand, {instance_id{"a"}, 1, 0, {}}, pool, now);
    CHECK(a.rates.requests == Approx(100));
    // The pool shrinks before `a` is informed.
    const limit_pool half{{50, 0}, 100, {10, 0}};
    demand.held = a.rates;
    demand.held_burst = a.burst;
    const auto lowered = leases.answer(
        instance_id{"a"}, demand, {instance_id{"a"}, 2, 1, {}}, half, now);
    CHECK(lowered.rates.requests <= 50);
    CHECK(leases.rates_in_use(half, now).requests == Approx(100));
    CHECK(leases.rates_in_use(half, now + 7s).requests == Approx(10));
    CHECK(leases.rates_in_use(half, now + 10s).requests == Approx(0));
    demand.held = lowered.rates;
    leases.answer(
        instance_id{"a"}, demand, {instance_id{"a"}, 3, 2, {}}, half, now);
    CHECK(leases.rates_in_use(half, now).requests <= 50);
}

TEST_CASE("request threads and the control thread run concurrently")
{
    limit_client client{self};
    const time_point start{10s};
    CHECK_FALSE(is_granted(client, start));
    std::atomic<int> granted{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t)
    {
        threads.emplace_back(
            [&]
            {
                for (int i = 0; i < 2000; ++i)
                {
                    const time_point now = start + i * 1ms;
                    if (is_granted(client, now))
                    {
                        ++granted;
                        client.finish(acme, now);
                    }
                }
            });
    }
    for (int i = 0; i < 2000; i += 20)
    {
        const time_point now = start + i * 1ms;
        for (const outgoing_demand& demand : client.tick(now))
        {
            client.receive(
                {self, demand.message.sequence, {lease_of(1000)}}, now);
        }
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    CHECK(client.running(acme) == 0);
    // 1000 requests per second for 2 s, plus the burst.
    CHECK(granted <= 2010);
}

TEST_CASE("an instance restarted at its address is not blocked from granting")
{
    // A claim to the earlier incarnation reaches the new one, as both have the
    // same address.
    const instance_id before{"b.1"};
    const instance_id after{"b.2"};
    const limits_view view{after, {after}, {before}, 1};
    auto lists = std::make_shared<lists_snapshot>();
    lists->plans.emplace(acme, plan_entry{acme, plan_id{"gold"}, {}, {}});
    limit_owner owner{after};
    const limit_timing timing;
    const time_point start{10s};
    time_point now = start;
    for (; now <= start + timing.start_wait; now += 50ms)
    {
        owner.update_lists(lists, now);
        owner.update_view(view, now);
        for (const outgoing_claim& claim : owner.tick(now))
        {
            CHECK(claim.to == before);
            owner.receive(claim.to, owner.answer(claim.message, now), now);
        }
    }
    CHECK(owner.has_authority(now));
}
