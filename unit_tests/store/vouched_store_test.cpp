#include "store/vouched_store.hpp"

#include "common/error.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

constexpr const char* kind = "servers";

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

    result<watch_batch> watch(
        const std::vector<std::string>&, revision, time_point deadline) override
    {
        ++this->watches;
        this->last_deadline = deadline;
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
    time_point last_deadline{};
    int lists = 0;
    int watches = 0;
    int interrupts = 0;
};

struct store_fixture
{
    store_fixture()
    {
        this->freshness.set_rank(this->options.readers);
    }

    void report(std::uint64_t newest)
    {
        this->freshness.on_report({revision{newest}, newest}, 0ms);
    }

    result<watch_batch> watch(std::uint64_t from)
    {
        return this->both.watch({kind}, revision{from}, this->time.now() + 10s);
    }

    manual_clock time;
    freshness_options options;
    view_freshness freshness{this->time, this->options};
    counting_store current;
    counting_store copy;
    vouched_store both{this->current, this->copy, this->freshness, this->time};
};

} // namespace

TEST_CASE_METHOD(
    store_fixture, "a watch reads the copy while it is vouched for")
{
    REQUIRE(this->watch(10));
    CHECK(this->current.watches == 1);
    CHECK(this->both.store_read_at() == this->time.now());
    // Nobody else would find out that its connection went silent.
    CHECK(this->current.last_deadline < this->time.now() + 2s);
    this->report(10);
    REQUIRE(this->watch(10));
    CHECK(this->current.watches == 1);
    CHECK(this->copy.watches == 1);
    CHECK_FALSE(this->both.store_read_at());
    CHECK(this->copy.last_deadline == this->time.now() + 10s);
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
    this->report(10);
    this->copy.during_watch = [this]
    {
        this->both.interrupt_if_defective();
        CHECK(this->copy.interrupts == 0);
        this->report(11);
        this->time.advance(this->options.copy_patience);
        this->both.interrupt_if_defective();
        CHECK(this->copy.interrupts == 1);
    };
    REQUIRE(this->watch(10));
    SECTION("and the next one reads the store itself")
    {
        REQUIRE(this->watch(10));
        CHECK(this->current.watches == 1);
    }
}
