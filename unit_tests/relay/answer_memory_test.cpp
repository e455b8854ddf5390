#include "relay/answer_memory.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace fireflysail;

namespace
{

constexpr std::size_t limit = 1'000;

struct fixture
{
    answer_memory::holding& read()
    {
        const std::size_t number = this->given_up.size();
        this->given_up.push_back(false);
        auto& added = this->held.emplace_back(
            this->memory,
            [this, number]
            {
                this->given_up[number] = true;
            });
        added.begin_read();
        return added;
    }

    answer_memory memory{limit};
    std::deque<bool> given_up;
    std::deque<answer_memory::holding> held;
};

} // namespace

TEST_CASE_METHOD(fixture, "answers that fit are all kept")
{
    auto& first = this->read();
    auto& second = this->read();
    CHECK(first.grow(600));
    CHECK(second.grow(400));
    CHECK(this->memory.size() == limit);
    CHECK(this->memory.given_up_count() == 0);
}

TEST_CASE_METHOD(fixture, "the longest answer is given up for the others")
{
    auto& endless = this->read();
    auto& sound = this->read();
    CHECK(endless.grow(900));
    CHECK(sound.grow(200));
    CHECK(this->given_up[0]);
    CHECK_FALSE(this->given_up[1]);
    CHECK(this->memory.size() == 200);
    CHECK_FALSE(endless.grow(1));
    CHECK(this->memory.size() == 200);
    SECTION("and the request may read another one")
    {
        endless.end_read();
        endless.begin_read();
        CHECK(endless.grow(100));
    }
}

TEST_CASE_METHOD(fixture, "an answer that is too long by itself is given up")
{
    auto& endless = this->read();
    CHECK_FALSE(endless.grow(limit + 1));
    CHECK(this->memory.size() == 0);
}

TEST_CASE_METHOD(fixture, "an answer that was read counts, and is kept")
{
    auto& whole = this->read();
    CHECK(whole.grow(900));
    whole.end_read();
    auto& next = this->read();
    CHECK_FALSE(next.grow(200));
    CHECK_FALSE(this->given_up[0]);
    CHECK(this->memory.size() == 900);
    this->held.clear();
    CHECK(this->memory.size() == 0);
}

TEST_CASE("a share of the memory is for answers")
{
    CHECK(answer_memory::share_of(byte_count{1'000}) == 200);
    CHECK(answer_memory::share_of(byte_count{}) > 0);
}
