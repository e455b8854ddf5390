#include "routing/engine_faults.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const server_id engine_a{"a"};
const time_point start{1h};

} // namespace

TEST_CASE("a suspicion keeps requests away for a while and ends by itself")
{
    engine_faults faults{{}};
    faults.report(engine_a, engine_fault::unreachable, start);
    CHECK(faults.avoided(start + 399ms).size() == 1);
    CHECK(faults.avoided(start + 400ms).empty());
}

TEST_CASE("many reports of one event are one suspicion")
{
    engine_faults faults{{}};
    for (int i = 0; i < 50; ++i)
    {
        faults.report(engine_a, engine_fault::named_by_peer, start + i * 1ms);
    }
    CHECK(faults.avoided(start + 400ms).empty());
}

TEST_CASE("a suspicion that is renewed lasts twice as long, up to a bound")
{
    engine_faults faults{{}};
    time_point now = start;
    for (int i = 0; i < 10; ++i)
    {
        faults.report(engine_a, engine_fault::named_by_peer, now);
        now += 3s;
    }
    faults.report(engine_a, engine_fault::named_by_peer, now);
    CHECK(faults.avoided(now + 2999ms).size() == 1);
    CHECK(faults.avoided(now + 3s).empty());
}

TEST_CASE("two inquiries without an answer confirm the loss")
{
    engine_faults faults{{}};
    faults.report(engine_a, engine_fault::in_silent_pipeline, start);
    CHECK(faults.take_due_inquiries(start) == std::vector{engine_a});
    CHECK(faults.take_due_inquiries(start + 100ms).empty());
    faults.inquiry_failed(engine_a, start + 100ms);
    CHECK_FALSE(faults.is_lost(engine_a, start));
    CHECK(faults.take_due_inquiries(start + 400ms) == std::vector{engine_a});
    faults.inquiry_failed(engine_a, start + 500ms);
    CHECK(faults.is_lost(engine_a, start));
    CHECK(faults.is_gone(engine_a));
    CHECK(faults.avoided(start + 1h) == std::vector{engine_a});
    faults.inquiry_answered(engine_a, engine_standing::ready, start + 1h);
    CHECK_FALSE(faults.is_lost(engine_a, start));
    CHECK(faults.avoided(start + 1h).empty());
}

TEST_CASE("an answered inquiry ends a suspicion that rested on silence only")
{
    engine_faults faults{{}};
    faults.report(engine_a, engine_fault::in_silent_pipeline, start);
    faults.inquiry_answered(engine_a, engine_standing::ready, start + 10ms);
    CHECK(faults.avoided(start + 10ms).empty());
    // A draining engine answers, and refuses requests all the same.
    const server_id draining{"b"};
    faults.report(draining, engine_fault::named_by_peer, start);
    faults.inquiry_answered(draining, engine_standing::ready, start + 10ms);
    CHECK(faults.avoided(start + 10ms) == std::vector{draining});
}

TEST_CASE("engines that left the fleet are forgotten")
{
    engine_faults faults{{}};
    faults.report(engine_a, engine_fault::unreachable, start);
    faults.keep_only(
        [](const server_id&)
        {
            return false;
        });
    CHECK(faults.avoided(start).empty());
}

namespace
{

/// Requests are refused again and again, each time when the suspicion before
/// has just run out; inquiries are answered in between.
time_point refuse(engine_faults& faults, int times, engine_standing standing)
{
    time_point now = start;
    for (int i = 0; i < times; ++i)
    {
        faults.report(engine_a, engine_fault::named_by_peer, now);
        faults.inquiry_answered(engine_a, standing, now + 100ms);
        now += 3s;
    }
    return now - 3s;
}

} // namespace

TEST_CASE("an engine that has room and refuses on is lost")
{
    engine_faults faults{{}};
    const time_point second = refuse(faults, 2, engine_standing::ready);
    CHECK_FALSE(faults.is_lost(engine_a, second));
    engine_faults refusing{{}};
    const time_point third = refuse(refusing, 3, engine_standing::ready);
    CHECK(refusing.is_lost(engine_a, third));
}

TEST_CASE("an engine whose memory is full is not lost")
{
    engine_faults faults{{}};
    const time_point last = refuse(faults, 6, engine_standing::busy);
    CHECK_FALSE(faults.is_lost(engine_a, last));
}

TEST_CASE("an engine that refused is tried again after a rest")
{
    engine_faults faults{{}};
    const time_point last = refuse(faults, 3, engine_standing::ready);
    // The third suspicion lasts 1.6 s, the rest 3 s.
    CHECK(faults.is_lost(engine_a, last + 4599ms));
    CHECK_FALSE(faults.is_lost(engine_a, last + 4600ms));
    CHECK(faults.avoided(last + 4600ms).empty());
    faults.report(engine_a, engine_fault::named_by_peer, last + 4600ms);
    CHECK(faults.is_lost(engine_a, last + 4600ms));
}

TEST_CASE("an engine that refuses and says that it leaves is lost at once")
{
    engine_faults faults{{}};
    const time_point first = refuse(faults, 1, engine_standing::leaving);
    CHECK(faults.is_lost(engine_a, first + 100ms));
    // It may still be at work for streams that began before.
    CHECK_FALSE(faults.is_gone(engine_a));
}

TEST_CASE("an engine that only says that it leaves is not lost")
{
    engine_faults faults{{}};
    faults.report(engine_a, engine_fault::in_silent_pipeline, start);
    CHECK_FALSE(faults.refuses(engine_a, start));
    faults.inquiry_answered(engine_a, engine_standing::leaving, start + 1ms);
    CHECK_FALSE(faults.is_lost(engine_a, start + 1ms));
}

TEST_CASE("what an engine told another instance keeps requests away here too")
{
    // Each of many instances would else send a request through the dead engine
    // to learn of it.
    engine_faults faults{{}};
    faults.heard_fault(engine_a, start);
    CHECK(faults.avoided(start + 399ms) == std::vector{engine_a});
    CHECK(faults.avoided(start + 400ms).empty());
    // The instance that was told asks the engine, and the one that repairs.
    CHECK(faults.take_due_inquiries(start).empty());
    CHECK(
        faults.take_due_inquiries(start, engine_faults::hearsay::included) ==
        std::vector{engine_a});
}

TEST_CASE("two instances without an answer confirm a loss, one does not")
{
    engine_faults faults{{}};
    const instance_id first{"1"};
    faults.heard_fault(engine_a, start);
    faults.heard_unanswered(engine_a, first, start + 300ms);
    faults.heard_unanswered(engine_a, first, start + 600ms);
    CHECK_FALSE(faults.is_lost(engine_a, start + 600ms));
    faults.heard_unanswered(engine_a, instance_id{"2"}, start + 700ms);
    CHECK(faults.is_lost(engine_a, start + 700ms));
    CHECK(faults.avoided(start + 2s) == std::vector{engine_a});
    // What ran there counts as ended only by this instance's own inquiries.
    CHECK_FALSE(faults.is_gone(engine_a));

    SECTION("until one gets an answer")
    {
        faults.heard_answered(engine_a, start + 900ms);
        CHECK_FALSE(faults.is_lost(engine_a, start + 900ms));
        CHECK(faults.avoided(start + 900ms).empty());
    }
    SECTION("until this instance gets an answer")
    {
        faults.inquiry_answered(
            engine_a, engine_standing::ready, start + 900ms);
        CHECK_FALSE(faults.is_lost(engine_a, start + 900ms));
    }
    SECTION("for as long as what they said is fresh")
    {
        CHECK(faults.is_lost(engine_a, start + 2699ms));
        CHECK_FALSE(faults.is_lost(engine_a, start + 2700ms));
    }
}

TEST_CASE("this instance and another without an answer confirm a loss")
{
    engine_faults faults{{}};
    faults.report(engine_a, engine_fault::named_by_peer, start);
    faults.inquiry_failed(engine_a, start + 250ms);
    CHECK_FALSE(faults.is_lost(engine_a, start + 250ms));
    faults.heard_unanswered(engine_a, instance_id{"1"}, start + 300ms);
    CHECK(faults.is_lost(engine_a, start + 300ms));
}

TEST_CASE("an own suspicion is not ended by what others say")
{
    engine_faults faults{{}};
    faults.report(engine_a, engine_fault::named_by_peer, start);
    faults.heard_answered(engine_a, start + 100ms);
    CHECK(faults.avoided(start + 399ms) == std::vector{engine_a});
}
