#include "store/watch_progress.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace fireflysail;

namespace
{

stored_object object(const char* name, std::uint64_t version)
{
    return {{"servers", name}, "value", revision{version}};
}

store_event
change(store_event::change what, std::uint64_t version, const char* name = "a")
{
    return {what, object(name, version)};
}

struct fixture
{
    revision newest_change() const
    {
        return this->progress.position().newest_change;
    }

    std::vector<view_position> told;
    watch_progress progress{
        {"servers"},
        [this](const view_position& view)
        {
            this->told.push_back(view);
        }};
};

} // namespace

TEST_CASE_METHOD(fixture, "progress is the newest change that was read")
{
    CHECK(this->newest_change() == revision{});
    this->progress.on_snapshot({revision{10}, {}});
    CHECK(this->newest_change() == revision{10});
    this->progress.on_events(
        {revision{20}, {change(store_event::change::written, 15)}});
    CHECK(this->newest_change() == revision{15});
    SECTION("and revisions of other kinds do not count")
    {
        this->progress.on_events({revision{30}, {}});
        CHECK(this->newest_change() == revision{15});
    }
    SECTION("and a removal counts as the end of its batch")
    {
        // Its own revision is not told.
        this->progress.on_events(
            {revision{30}, {change(store_event::change::removed, 16)}});
        CHECK(this->newest_change() == revision{30});
    }
}

TEST_CASE_METHOD(fixture, "each answer is passed on, with changes or without")
{
    this->progress.on_snapshot({revision{10}, {object("a", 5)}});
    this->progress.on_events({revision{30}, {}});
    REQUIRE(this->told.size() == 2);
    CHECK(this->told.back() == this->progress.position());
}

TEST_CASE_METHOD(fixture, "views of the same objects have the same digest")
{
    const auto digest = [this]
    {
        return this->progress.position().digest;
    };
    this->progress.on_snapshot({revision{10}, {object("a", 5)}});
    const auto first = digest();
    this->progress.on_events(
        {revision{20}, {change(store_event::change::written, 15, "b")}});
    const auto both = digest();
    CHECK(both != first);
    SECTION("whether listed or watched")
    {
        this->progress.on_snapshot(
            {revision{25}, {object("b", 15), object("a", 5)}});
        CHECK(digest() == both);
    }
    SECTION("after a removal")
    {
        this->progress.on_events(
            {revision{30}, {change(store_event::change::removed, 21, "b")}});
        CHECK(digest() == first);
    }
    SECTION("but not after a change of one of them")
    {
        this->progress.on_events(
            {revision{30}, {change(store_event::change::written, 21, "b")}});
        CHECK(digest() != both);
    }
}
