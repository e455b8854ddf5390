#include "control/crash_registry.hpp"

#include "control/store_decorator.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace fireflysail::testing;
using namespace std::chrono_literals;

namespace
{

const fingerprint poison{0xabcdef};

struct fixture
{
    manual_clock time;
    store_model objects{time};
    store_decorator interposed{objects};
    crash_registry here{interposed, time};
    crash_registry there{objects, time};

    /// What the store holds reaches the other instance.
    void share()
    {
        this->here.publish();
        const auto listed =
            this->objects.list(this->there.kinds(), this->time.now() + 1s);
        REQUIRE(listed);
        this->there.on_snapshot(listed.value());
    }
};

} // namespace

TEST_CASE_METHOD(
    fixture, "a request that crashed a server is suspected at every instance")
{
    CHECK(this->here.judge(poison).level == suspicion_level::normal);
    this->here.on_crash(server_id{"e1"}, poison);
    CHECK(this->here.judge(poison).level == suspicion_level::suspect);
    CHECK(this->there.judge(poison).level == suspicion_level::normal);
    this->share();
    CHECK(this->there.judge(poison).level == suspicion_level::suspect);
    CHECK(this->there.judge(fingerprint{1}).level == suspicion_level::normal);
}

TEST_CASE_METHOD(fixture, "a second crash of another server quarantines it")
{
    this->here.on_crash(server_id{"e1"}, poison);
    this->share();
    this->time.advance(2s);
    this->there.on_crash(server_id{"e2"}, poison);
    CHECK(this->there.judge(poison).level == suspicion_level::quarantined);
}

TEST_CASE_METHOD(fixture, "a suspicion that nothing renews passes")
{
    this->here.on_crash(server_id{"e1"}, poison);
    this->time.advance(12s);
    CHECK(this->here.judge(poison).level == suspicion_level::normal);
}

TEST_CASE_METHOD(
    fixture, "a crash that the store was not told of is told at the next call")
{
    this->interposed.refuse_writes_of = crash_registry::kind;
    this->here.on_crash(server_id{"e1"}, poison);
    this->share();
    CHECK(this->there.judge(poison).level == suspicion_level::normal);
    this->interposed.refuse_writes_of.clear();
    this->share();
    CHECK(this->there.judge(poison).level == suspicion_level::suspect);
}
