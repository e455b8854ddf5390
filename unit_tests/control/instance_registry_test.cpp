#include "control/instance_registry.hpp"

#include "common/store_era.hpp"
#include "control/store_decorator.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

TEST_CASE("a restarted instance is counted once")
{
    manual_clock time;
    store_model objects{time};
    const peer_instance a{instance_id{"a"}, {"10.1.0.1", 7340}};
    const peer_instance b{instance_id{"b"}, {"10.1.0.2", 7340}};
    instance_registry first{a, objects, objects, time};
    instance_registry second{b, objects, objects, time};
    instance_registry restarted{b, objects, objects, time};
    CHECK(first.count() == 0);
    first.step();
    second.step();
    restarted.step();
    CHECK(first.count() == 0);
    time.advance(3s);
    first.step();
    restarted.step();
    CHECK(first.count() == 2);
    CHECK(restarted.count() == 2);
}

TEST_CASE("peers find a restarted instance at its new address")
{
    manual_clock time;
    store_model objects{time};
    const peer_instance a{instance_id{"a"}, {"10.1.0.1", 7340}};
    const peer_instance b{instance_id{"b"}, {"10.1.0.2", 7340}};
    const peer_instance moved{instance_id{"b"}, {"10.1.0.3", 7340}};
    instance_registry first{a, objects, objects, time};
    instance_registry second{b, objects, objects, time};
    first.step();
    second.step();
    time.advance(3s);
    first.step();
    CHECK(*first.peers() == std::vector{b});
    CHECK(first.has_peer(b.id, b.address.host));
    CHECK_FALSE(first.has_peer(b.id, moved.address.host));
    CHECK_FALSE(first.has_peer(a.id, a.address.host));
    // Restarts at another address, which peers read with their next count.
    instance_registry again{moved, objects, objects, time};
    again.step();
    time.advance(3s);
    again.step();
    CHECK(*again.peers() == std::vector{a});
    time.advance(20s);
    first.step();
    CHECK(*first.peers() == std::vector{moved});
}

TEST_CASE("all instances agree on their order")
{
    manual_clock time;
    store_model objects{time};
    std::vector<std::unique_ptr<instance_registry>> instances;
    for (int i = 0; i < 20; ++i)
    {
        const auto id = "entry-" + std::to_string(i);
        const peer_instance self{instance_id{id}, {"10.1.0.1", 7340 + i}};
        instances.push_back(
            std::make_unique<instance_registry>(self, objects, objects, time));
        // Until the others are known each reads for itself.
        CHECK(instances.back()->rank() == 0);
        instances.back()->step();
    }
    time.advance(3s);
    for (const auto& each : instances)
    {
        each->step();
    }
    std::vector<std::size_t> ranks;
    std::ranges::transform(
        instances,
        std::back_inserter(ranks),
        [](const auto& each)
        {
            return each->rank();
        });
    std::vector<std::size_t> expected(instances.size());
    std::iota(expected.begin(), expected.end(), 0U);
    CHECK(std::ranges::is_permutation(ranks, expected));
    const auto first = std::ranges::find(ranks, 0U) - ranks.begin();
    const instance_id id{"entry-" + std::to_string(first)};
    CHECK(
        std::ranges::count_if(
            instances,
            [&id](const auto& each)
            {
                return each->is_outranked_by(id);
            }) == 19);
}

TEST_CASE("a count that is older than the last one is left out")
{
    // Retries are divided by the count, so it must not fall because a copy of
    // the store is behind.
    manual_clock time;
    store_model objects{time};
    store_model copy{time};
    const peer_instance a{instance_id{"a"}, {"10.1.0.1", 7340}};
    const peer_instance b{instance_id{"b"}, {"10.1.0.2", 7340}};
    instance_registry first{a, objects, copy, time};
    instance_registry second{b, objects, copy, time};
    first.step();
    second.step();
    time.advance(3s);
    first.step();
    REQUIRE(first.count() == 2);
    time.advance(20s);
    first.step();
    CHECK(first.count() == 2);
    CHECK(*first.peers() == std::vector{b});
}

namespace
{

/// Shows another store's objects as of an era.
class restored_store final : public testing::store_decorator
{
public:
    using store_decorator::store_decorator;

    result<revision> create(
        const object_key& key,
        const std::string& value,
        time_point deadline) override
    {
        const auto written =
            this->store_decorator::create(key, value, deadline);
        return written ? result<revision>{make_revision(
                             this->era, written.value().value())}
                       : written;
    }

    result<store_snapshot>
    list(const std::vector<std::string>& kinds, time_point deadline) override
    {
        auto listed = this->store_decorator::list(kinds, deadline);
        if (!listed)
        {
            return listed;
        }
        store_snapshot shown = std::move(listed).value();
        shown.version = make_revision(this->era, shown.version.value());
        return shown;
    }

    store_era era{1};
};

/// Two instances of a store that comes back without what it held of one.
struct restored_fleet
{
    void lose(const instance_id& instance)
    {
        const object_key lost{instance_registry::kind, instance.str()};
        const auto written = this->model.get(lost, this->time.now() + 1s);
        REQUIRE(written);
        REQUIRE(this->model.remove(
            lost, written.value().version, this->time.now() + 1s));
        this->objects.era = store_era{2};
    }

    /// Both register, and the first counts them.
    void start()
    {
        this->first.step();
        this->second.step();
        this->time.advance(3s);
        this->first.step();
        REQUIRE(this->first.count() == 2);
    }

    manual_clock time;
    store_model model{this->time};
    restored_store objects{this->model};
    const peer_instance a{instance_id{"a"}, {"10.1.0.1", 7340}};
    const peer_instance b{instance_id{"b"}, {"10.1.0.2", 7340}};
    instance_registry first{this->a, this->objects, this->objects, this->time};
    instance_registry second{this->b, this->objects, this->objects, this->time};
};

} // namespace

TEST_CASE_METHOD(
    restored_fleet, "an instance that a restored store lacks registers again")
{
    this->start();
    this->second.step();
    // The copy was taken before the second one registered.
    this->lose(this->b.id);
    this->time.advance(20s);
    this->first.step();
    CHECK(this->first.count() == 2);
    this->second.step();
    this->time.advance(3s);
    this->first.step();
    this->second.step();
    CHECK(this->first.count() == 2);
    CHECK(this->second.count() == 2);
    CHECK(*this->first.peers() == std::vector{this->b});
}

TEST_CASE_METHOD(
    restored_fleet,
    "an instance that has not counted yet registers again as well")
{
    this->first.step();
    this->lose(this->a.id);
    this->time.advance(3s);
    this->first.step();
    CHECK(
        this->model.get({instance_registry::kind, "a"}, this->time.now() + 1s));
    this->time.advance(3s);
    this->first.step();
    CHECK(this->first.count() == 1);
}

TEST_CASE_METHOD(
    restored_fleet, "an instance that does not register again is forgotten")
{
    this->start();
    this->lose(this->b.id);
    this->time.advance(20s);
    this->first.step();
    CHECK(this->first.count() == 2);
    for (int passed = 0; passed < 20; ++passed)
    {
        this->time.advance(2s);
        this->first.step();
    }
    CHECK(this->first.count() == 1);
    CHECK(this->first.peers()->empty());
}
