#include "routing/concurrency_limit.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

/// A backend server with a fixed number of slots. Further requests queue there.
class slotted_server
{
public:
    explicit slotted_server(std::size_t slots)
        : slots{slots}
    {
    }

    /// Keeps as many requests in flight as the limit allows for `span`. Returns
    /// the utilization of the slots.
    double saturate(concurrency_limit& limit, duration span)
    {
        const time_point end = this->now + span;
        duration busy{};
        while (this->now < end)
        {
            while (this->ends.size() < limit.limit())
            {
                busy += this->dispatch(limit);
            }
            this->now = std::max(this->now, this->ends.top());
            this->ends.pop();
        }
        return busy / (span * static_cast<double>(this->slots));
    }

    std::size_t slots;

private:
    duration dispatch(concurrency_limit& limit)
    {
        while (this->free_at.size() > this->slots)
        {
            this->free_at.pop();
        }
        time_point begin = this->now;
        if (this->free_at.size() == this->slots)
        {
            begin = std::max(begin, this->free_at.top());
            this->free_at.pop();
        }
        const duration service =
            std::chrono::milliseconds{1000 + this->random() % 2000};
        this->free_at.push(begin + service);
        this->ends.push(begin + service);
        const duration first = begin - this->now + 100ms;
        limit.on_sample({first, 100ms, this->ends.size()});
        return service;
    }

    using times = std::
        priority_queue<time_point, std::vector<time_point>, std::greater<>>;

    time_point now{};
    std::mt19937_64 random{21};
    times free_at;
    times ends;
};

} // namespace

TEST_CASE("the limit converges to the slots of a backend server")
{
    const std::size_t slots = GENERATE(4, 12, 48, 200);
    slotted_server server{slots};
    concurrency_limit limit{{}};
    server.saturate(limit, 60s);
    const double used = server.saturate(limit, 120s);
    CHECK(used >= 0.95);
    CHECK(limit.limit() <= slots + slots / 2 + 4);
}

TEST_CASE("the limit decreases when a backend server loses slots")
{
    slotted_server server{40};
    concurrency_limit limit{{}};
    server.saturate(limit, 60s);
    CHECK(limit.limit() >= 36);
    server.slots = 10;
    server.saturate(limit, 120s);
    CHECK(limit.limit() <= 20);
}

TEST_CASE("an idle backend server does not raise its limit")
{
    concurrency_limit limit{{}};
    for (int i = 0; i < 1000; ++i)
    {
        limit.on_sample({100ms, 100ms, 1});
    }
    CHECK(limit.limit() == 4);
}

TEST_CASE("overload reduces the limit once per response time")
{
    concurrency_limit limit{{}};
    const time_point now = time_point{} + 1s;
    limit.on_sample({100ms, 100ms, 1});
    limit.on_overload(now);
    limit.on_overload(now + 10ms);
    CHECK(limit.limit() == 3);
    for (int i = 0; i < 100; ++i)
    {
        limit.on_overload(now + i * 1s);
    }
    CHECK(limit.limit() == 1);
}

TEST_CASE("highly variable response times are not taken for congestion")
{
    std::mt19937_64 random{4};
    std::exponential_distribution<double> spread{1};
    concurrency_limit limit{{}};
    for (int i = 0; i < 5000; ++i)
    {
        const auto response = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(0.001 + spread(random)));
        limit.on_sample({response, 1s, limit.limit()});
    }
    CHECK(limit.limit() > 100);
}

TEST_CASE("the limit never exceeds the slots that the backend server reports")
{
    concurrency_limit limit{{}};
    limit.on_report(6);
    for (int i = 0; i < 1000; ++i)
    {
        limit.on_sample({100ms, 100ms, limit.limit()});
        REQUIRE(limit.limit() <= 6);
    }
    CHECK(limit.limit() == 6);
    limit.on_report(3);
    CHECK(limit.limit() == 3);
}
