#include "store/vouched_store.hpp"

#include "common/error.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

constexpr const char* kind = "servers";

struct vouching_fixture
{
    manual_clock time;
    vouching_options options;
    copy_vouching vouching{this->time, this->options};
};

/// A store that counts its watches and answers them with a fixed revision.
class counting_store final : public store
{
public:
    result<stored_object> get(const object_key&, time_point) override
    {
        return errc::not_found;
    }

    result<store_snapshot>
    list(const std::vector<std::string>&, time_point) override
    {
        ++this->lists;
        return store_snapshot{this->reached, {}};
    }

    result<revision>
    create(const object_key&, const std::string&, time_point) override
    {
        return errc::unavailable;
    }

    result<revision>
    update(const object_key&, const std::string&, revision, time_point) override
    {
        return errc::unavailable;
    }

    result<revision> remove(const object_key&, revision, time_point) override
    {
        return errc::unavailable;
    }

    result<watch_batch>
    watch(const std::vector<std::string>&, revision, time_point) override
    {
        ++this->watches;
        if (this->during_watch)
        {
            this->during_watch();
        }
        return watch_batch{this->reached, {}};
    }

    void interrupt_watches() override
    {
        ++this->interrupts;
    }

    revision reached{10};
    std::function<void()> during_watch;
    int lists = 0;
    int watches = 0;
    int interrupts = 0;
};

struct store_fixture : vouching_fixture
{
    result<watch_batch> watch(std::uint64_t from)
    {
        return this->both.watch({kind}, revision{from}, this->time.now() + 10s);
    }

    counting_store current;
    counting_store copy;
    vouched_store both{this->current, this->copy, this->vouching, this->time};
};

} // namespace

TEST_CASE_METHOD(vouching_fixture, "a copy is used only while a peer vouches")
{
    CHECK_FALSE(this->vouching.may_use_copy(revision{10}));
    this->vouching.on_report(revision{10});
    CHECK(this->vouching.may_use_copy(revision{10}));
    // All readers are lost, or cut off from the store or from here.
    this->time.advance(this->options.report_lifetime);
    CHECK_FALSE(this->vouching.may_use_copy(revision{10}));
    this->vouching.on_report(revision{10});
    CHECK(this->vouching.may_use_copy(revision{10}));
}

TEST_CASE_METHOD(
    vouching_fixture, "a copy that hides a change for long is not used")
{
    // The copies may be seconds behind after the store lost its history: a
    // withdrawn key must not stay in use until they have caught up.
    this->vouching.on_report(revision{20});
    CHECK(this->vouching.may_use_copy(revision{10}));
    const time_point began = this->time.now();
    CHECK(this->vouching.may_continue(revision{10}, began));
    this->time.advance(this->options.patience);
    CHECK_FALSE(this->vouching.may_continue(revision{10}, began));
    SECTION("for a while")
    {
        this->time.advance(this->options.distrust - 1ms);
        this->vouching.on_report(revision{20});
        CHECK_FALSE(this->vouching.may_use_copy(revision{20}));
        this->time.advance(1ms);
        CHECK(this->vouching.may_use_copy(revision{20}));
    }
}

TEST_CASE_METHOD(
    vouching_fixture,
    "a copy that is always behind is given up between watches")
{
    this->vouching.on_report(revision{20});
    this->time.advance(this->options.max_lag - 1ms);
    this->vouching.on_report(revision{20});
    CHECK(this->vouching.may_use_copy(revision{19}));
    this->time.advance(1ms);
    CHECK_FALSE(this->vouching.may_use_copy(revision{19}));
}

// Guards against withdrawn keys that stay in use during a storm of
// configurations.
TEST_CASE_METHOD(
    vouching_fixture, "a copy that lags is given up while changes come fast")
{
    const duration gap = GENERATE_COPY(
        duration{1ms},
        duration{50ms},
        duration{330ms},
        this->options.patience - 1ms);
    const bool is_one_watch = GENERATE(false, true);
    const time_point first = this->time.now();
    const time_point end = first + 10 * this->options.max_lag;
    revision newest{20};
    const auto is_used = [&]
    {
        return is_one_watch ? this->vouching.may_continue(revision{19}, first)
                            : this->vouching.may_use_copy(revision{19});
    };
    this->vouching.on_report(newest);
    while (is_used() && this->time.now() < end)
    {
        this->time.advance(gap);
        newest = newest.next();
        this->vouching.on_report(newest);
    }
    CHECK(this->time.now() - first <= this->options.max_lag + gap);
}

TEST_CASE_METHOD(
    vouching_fixture, "a copy that follows is used while changes come fast")
{
    for (std::uint64_t change = 20; change < 200; ++change)
    {
        this->vouching.on_report(revision{change});
        this->time.advance(50ms);
        // Always behind, but by less than the time allowed.
        CHECK(this->vouching.may_use_copy(revision{change - 10}));
    }
}

TEST_CASE_METHOD(
    store_fixture, "a watch reads the copy while it is vouched for")
{
    REQUIRE(this->watch(10));
    CHECK(this->current.watches == 1);
    this->vouching.on_report(revision{10});
    REQUIRE(this->watch(10));
    CHECK(this->current.watches == 1);
    CHECK(this->copy.watches == 1);
    SECTION("and lists always read the store itself")
    {
        REQUIRE(this->both.list({kind}, this->time.now()));
        CHECK(this->current.lists == 1);
        CHECK(this->copy.lists == 0);
    }
    SECTION("and a copy that is behind tells nothing new")
    {
        this->copy.reached = revision{5};
        const auto batch = this->watch(10);
        REQUIRE(batch);
        CHECK(batch.value().next == revision{10});
    }
}

TEST_CASE_METHOD(
    store_fixture, "a watch of a copy that proves stale is ended at once")
{
    this->vouching.on_report(revision{10});
    this->copy.during_watch = [this]
    {
        this->both.interrupt_if_stale();
        CHECK(this->copy.interrupts == 0);
        this->vouching.on_report(revision{11});
        this->time.advance(this->options.patience);
        this->both.interrupt_if_stale();
        CHECK(this->copy.interrupts == 1);
    };
    REQUIRE(this->watch(10));
    SECTION("and the next one reads the store itself")
    {
        REQUIRE(this->watch(10));
        CHECK(this->current.watches == 1);
    }
}
