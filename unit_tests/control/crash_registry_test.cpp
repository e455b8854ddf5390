#include "control/crash_registry.hpp"

#include "control/store_decorator.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace fireflysail::testing;
using namespace std::chrono_literals;

namespace
{

const fingerprint crashing_request{0xabcdef};

struct fixture
{
    manual_clock time;
    store_model objects{time};
    store_decorator decorated_store{objects};
    crash_registry local{decorated_store, time};
    crash_registry remote{objects, time};

    /// Publishes local suspicions and applies a snapshot of the store remotely.
    void propagate()
    {
        this->local.publish();
        const auto listed =
            this->objects.list(this->remote.kinds(), this->time.now() + 1s);
        REQUIRE(listed);
        this->remote.on_snapshot(listed.value());
    }
};

} // namespace

TEST_CASE_METHOD(
    fixture, "a request that crashed a server is suspected at every instance")
{
    CHECK(
        this->local.status_of(crashing_request).level ==
        suspicion_level::normal);
    this->local.on_crash(server_id{"e1"}, crashing_request);
    CHECK(
        this->local.status_of(crashing_request).level ==
        suspicion_level::suspect);
    CHECK(
        this->remote.status_of(crashing_request).level ==
        suspicion_level::normal);
    this->propagate();
    CHECK(
        this->remote.status_of(crashing_request).level ==
        suspicion_level::suspect);
    CHECK(
        this->remote.status_of(fingerprint{1}).level ==
        suspicion_level::normal);
}

TEST_CASE_METHOD(
    fixture, "a request that crashes a second server is quarantined")
{
    this->local.on_crash(server_id{"e1"}, crashing_request);
    this->propagate();
    this->time.advance(2s);
    this->remote.on_crash(server_id{"e2"}, crashing_request);
    CHECK(
        this->remote.status_of(crashing_request).level ==
        suspicion_level::quarantined);
}

TEST_CASE_METHOD(fixture, "a suspicion expires without another crash")
{
    this->local.on_crash(server_id{"e1"}, crashing_request);
    this->time.advance(12s);
    CHECK(
        this->local.status_of(crashing_request).level ==
        suspicion_level::normal);
}

TEST_CASE_METHOD(
    fixture,
    "a suspicion that could not be published is published by the next call")
{
    this->decorated_store.fail_create_of_kind = crash_registry::kind;
    this->local.on_crash(server_id{"e1"}, crashing_request);
    this->propagate();
    CHECK(
        this->remote.status_of(crashing_request).level ==
        suspicion_level::normal);
    this->decorated_store.fail_create_of_kind.clear();
    this->propagate();
    CHECK(
        this->remote.status_of(crashing_request).level ==
        suspicion_level::suspect);
}
