#include "store_model.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const object_key first{"plan", "a/b c"};
const object_key second{"mark", "s1"};

struct fixture
{
    manual_clock time;
    store_model store{time};
    time_point deadline = time.now() + 1s;
};

} // namespace

TEST_CASE("a conditional write needs its condition")
{
    fixture f;
    CHECK(
        f.store.update(first, "x", revision{1}, f.deadline).error() ==
        errc::not_found);
    const revision created = f.store.create(first, "x", f.deadline).value();
    CHECK(f.store.create(first, "y", f.deadline).error() == errc::conflict);
    const revision updated =
        f.store.update(first, "z", created, f.deadline).value();
    CHECK(f.store.remove(first, created, f.deadline).error() == errc::conflict);
    CHECK(f.store.get(first, f.deadline).value().value == "z");
    CHECK(f.store.remove(first, updated, f.deadline).has_value());
    CHECK(f.store.get(first, f.deadline).error() == errc::not_found);
}

TEST_CASE("a watch from a list's revision misses and repeats nothing")
{
    fixture f;
    f.store.create(first, "x", f.deadline).value();
    const store_snapshot listed = f.store.list({"plan"}, f.deadline).value();
    REQUIRE(listed.objects.size() == 1);
    f.store.create(second, "other kind", f.deadline).value();
    f.store.update(first, "y", listed.objects[0].version, f.deadline).value();

    const watch_batch batch =
        f.store.watch({"plan"}, listed.version, f.deadline).value();
    REQUIRE(batch.events.size() == 1);
    CHECK(batch.events[0].object.value == "y");
    CHECK(batch.next == revision{3});
    CHECK(
        f.store.watch({"plan"}, batch.next, f.deadline).value().events.empty());

    f.store.compact();
    CHECK(
        f.store.watch({"plan"}, listed.version, f.deadline).error() ==
        errc::compacted);
}

TEST_CASE("faults of the store do what they say")
{
    fixture f;
    store_faults faults;

    SECTION("down")
    {
        faults.down = true;
        f.store.set_faults(faults);
        CHECK(
            f.store.create(first, "x", f.deadline).error() ==
            errc::unavailable);
        CHECK(f.store.objects().empty());
    }
    SECTION("an answer lost after the write took effect")
    {
        faults.lost_answers = 1;
        f.store.set_faults(faults);
        CHECK(
            f.store.create(first, "x", f.deadline).error() ==
            errc::unknown_effect);
        CHECK(f.store.get(first, f.deadline).value().value == "x");
    }
    SECTION("a request lost on the way")
    {
        faults.lost_requests = 1;
        f.store.set_faults(faults);
        CHECK(
            f.store.create(first, "x", f.deadline).error() ==
            errc::unknown_effect);
        CHECK(f.store.objects().empty());
    }
    SECTION("a write that takes effect after its caller gave up")
    {
        faults.delay = 5s;
        f.store.set_faults(faults);
        CHECK(
            f.store.create(first, "x", f.deadline).error() ==
            errc::unknown_effect);
        f.store.set_faults({});
        CHECK(f.store.get(first, f.deadline).error() == errc::not_found);
        f.time.advance(5s);
        CHECK(f.store.get(first, f.time.now() + 1s).value().value == "x");
    }
    SECTION("stale lists")
    {
        faults.stale_reads = true;
        f.store.set_faults(faults);
        f.store.create(first, "x", f.deadline).value();
        CHECK(f.store.list({"plan"}, f.deadline).value().objects.empty());
        f.store.set_faults({});
        CHECK(f.store.list({"plan"}, f.deadline).value().objects.size() == 1);
    }
    CHECK(f.store.truth().calls_by_kind.contains("plan"));
}
