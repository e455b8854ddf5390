#include "routing/drain_policy.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

struct fixture
{
    fixture()
    {
        this->policy.begin(this->start, this->start + 7s);
    }

    bool may_send(work_kind work, duration due, duration passed) const
    {
        return this->policy.may_send(
            work, this->start + due, this->start + passed);
    }

    const time_point start{100s};
    const drain_policy::options options;
    drain_policy policy{this->options};
};

} // namespace

TEST_CASE("an instance that goes on sends all requests")
{
    const drain_policy policy{{}};
    const auto work = GENERATE(
        work_kind::stream, work_kind::idempotent, work_kind::non_idempotent);
    CHECK(policy.may_send(work, time_point::max(), time_point{1h}));
    CHECK(policy.is_unnoticed(time_point{1h}));
}

TEST_CASE_METHOD(fixture, "what is answered before the end is sent")
{
    const auto work = GENERATE(
        work_kind::stream, work_kind::idempotent, work_kind::non_idempotent);
    const duration last = 7s - this->options.answer_margin;
    CHECK(this->may_send(work, last, 0s));
    CHECK(this->may_send(work, last, last - 1ms));
    CHECK_FALSE(this->may_send(work, last + 1ms, this->options.notice));
}

TEST_CASE_METHOD(
    fixture, "until the balancer notices, only what may be repeated is risked")
{
    const duration passed = this->options.notice - 1ms;
    CHECK(this->policy.is_unnoticed(this->start + passed));
    CHECK_FALSE(this->policy.is_unnoticed(this->start + passed + 1ms));
    CHECK(this->may_send(work_kind::stream, 20s, passed));
    CHECK(this->may_send(work_kind::idempotent, 20s, passed));
    CHECK_FALSE(this->may_send(work_kind::non_idempotent, 20s, passed));
    CHECK_FALSE(this->may_send(work_kind::stream, 20s, this->options.notice));
}
