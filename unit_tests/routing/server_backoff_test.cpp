#include "routing/server_backoff.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const server_id desk{"desk-1"};
constexpr std::uint64_t boot = 7;

struct fixture
{
    bool refuse(duration wait, bool was_full = false)
    {
        return this->backoff.on_refusal(desk, boot, wait, was_full);
    }

    bool is_closed() const
    {
        return this->backoff.closed() == std::vector{desk};
    }

    /// Of 1000 requests, those for which the server is held back.
    std::ptrdiff_t held_back_of_thousand()
    {
        std::ptrdiff_t held = 0;
        for (int i = 0; i < 1'000; ++i)
        {
            held += std::ssize(this->backoff.returning(this->random));
        }
        return held;
    }

    manual_clock time;
    std::mt19937_64 random{1};
    server_backoff::options options;
    server_backoff backoff{this->time, this->options};
};

} // namespace

TEST_CASE_METHOD(fixture, "a server gets nothing until its time has passed")
{
    CHECK_FALSE(this->backoff.until(desk));
    CHECK(this->refuse(1500ms));
    CHECK(this->backoff.until(desk) == this->time.now() + 1500ms);
    this->time.advance(1499ms);
    CHECK(this->is_closed());
    this->time.advance(1ms);
    CHECK_FALSE(this->is_closed());
    CHECK_FALSE(this->backoff.until(desk));
}

TEST_CASE_METHOD(fixture, "the newest word of a server counts")
{
    this->refuse(10s);
    this->time.advance(1s);
    CHECK_FALSE(this->refuse(1s));
    CHECK(this->backoff.until(desk) == this->time.now() + 1s);
    CHECK_FALSE(this->refuse(5s));
    CHECK(this->backoff.until(desk) == this->time.now() + 5s);
    SECTION("and none at all ends the backoff")
    {
        this->refuse(0s);
        CHECK_FALSE(this->is_closed());
    }
}

TEST_CASE_METHOD(fixture, "another boot of a server ends its backoff")
{
    this->refuse(10s);
    this->backoff.on_boot(desk, boot);
    CHECK(this->is_closed());
    this->backoff.on_boot(desk, boot + 1);
    CHECK_FALSE(this->is_closed());
}

TEST_CASE_METHOD(fixture, "a time without end is bounded")
{
    this->refuse(24h * 366);
    this->time.advance(this->options.longest);
    CHECK_FALSE(this->is_closed());
}

TEST_CASE_METHOD(fixture, "a server that was full comes back gradually")
{
    this->refuse(1s, true);
    CHECK(this->held_back_of_thousand() == 0);
    this->time.advance(1s);
    CHECK(this->held_back_of_thousand() == 1'000);
    this->time.advance(this->options.ramp / 2);
    const auto held = this->held_back_of_thousand();
    CHECK(held > 400);
    CHECK(held < 600);
    this->time.advance(this->options.ramp / 2);
    CHECK(this->held_back_of_thousand() == 0);
}

TEST_CASE_METHOD(fixture, "a server that had room comes back at once")
{
    this->refuse(1s, false);
    this->time.advance(1s);
    CHECK(this->held_back_of_thousand() == 0);
}

TEST_CASE_METHOD(fixture, "a time that cannot be read is told once a server")
{
    CHECK(this->backoff.on_unreadable(desk));
    CHECK_FALSE(this->backoff.on_unreadable(desk));
    for (std::size_t i = 0; i < 2 * server_backoff::max_servers; ++i)
    {
        this->backoff.on_unreadable(server_id{"desk-" + std::to_string(i)});
    }
    CHECK_FALSE(this->backoff.on_unreadable(server_id{"one more"}));
    CHECK(this->backoff.closed().empty());
}

TEST_CASE_METHOD(fixture, "servers that are over are forgotten")
{
    for (int i = 0; i < 10'000; ++i)
    {
        const server_id server{"desk-" + std::to_string(i)};
        this->backoff.on_refusal(server, boot, 1s, i % 2 == 0);
        this->time.advance(10ms);
    }
    CHECK(this->backoff.count() <= 200);
}

TEST_CASE_METHOD(fixture, "servers that back off are held in bounded space")
{
    for (std::size_t i = 0; i < 2 * server_backoff::max_servers; ++i)
    {
        const server_id server{"desk-" + std::to_string(i)};
        this->backoff.on_refusal(server, boot, 1min, false);
    }
    CHECK(this->backoff.count() == server_backoff::max_servers);
}
