#include "store/claim_codec.hpp"
#include "store/claim_sweeper.hpp"
#include "store_model.hpp"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

constexpr duration retention = 24h;
constexpr duration step = 5min;

/// Claim sweepers of several instances on a virtual clock, and a writer of
/// claims.
struct fixture
{
    explicit fixture(std::size_t instances)
    {
        for (std::size_t i = 0; i < instances; ++i)
        {
            this->replace(i);
        }
    }

    void replace(std::size_t i)
    {
        this->sweepers.resize(std::max(this->sweepers.size(), i + 1));
        this->sweepers[i] = std::make_unique<claim_sweeper>(
            claim_sweeper_options{},
            this->objects,
            [](std::size_t)
            {
                return true;
            },
            this->time);
    }

    void write_claim()
    {
        const claim_key key{
            workspace_id{"w"},
            idempotency_key{std::to_string(this->written_at.size())}};
        const object_key object = claim_object_key(key);
        this->objects.create(object, "x", this->time.now() + 1s).value();
        this->written_at[object] = this->time.now();
    }

    /// Writes and sweeps claims for `length`, and updates `min_removed_age` and
    /// `max_stored`.
    void run(duration length)
    {
        const time_point end = this->time.now() + length;
        while (this->time.now() < end)
        {
            this->time.advance(step);
            this->write_claim();
            for (const auto& sweeper : this->sweepers)
            {
                // One shard every 5 s would take too many steps, so each step
                // does many shards.
                for (std::size_t i = 0; i < claim_shards / 8; ++i)
                {
                    sweeper->step();
                }
            }
            this->record_removals();
        }
    }

    void record_removals()
    {
        std::map<object_key, time_point> left;
        for (const stored_object& object : this->objects.objects())
        {
            const auto found = this->written_at.find(object.key);
            if (found != this->written_at.end())
            {
                left.insert(*found);
            }
        }
        for (const auto& [key, when] : this->written_at)
        {
            if (!left.contains(key) && this->removed.insert(key).second)
            {
                this->min_removed_age =
                    std::min(this->min_removed_age, this->time.now() - when);
            }
        }
        this->max_stored = std::max(this->max_stored, left.size());
    }

    manual_clock time;
    store_model objects{time};
    std::vector<std::unique_ptr<claim_sweeper>> sweepers;
    std::map<object_key, time_point> written_at;
    std::set<object_key> removed;
    duration min_removed_age = duration::max();
    std::size_t max_stored = 0;
};

} // namespace

TEST_CASE("entries stay for the retention period and are then removed")
{
    fixture f{3};
    f.run(72h);
    CHECK(f.min_removed_age >= retention);
    REQUIRE_FALSE(f.removed.empty());
    // At most 10% more than is written in one retention period.
    CHECK(f.max_stored <= static_cast<std::size_t>(retention / step * 11 / 10));
}

TEST_CASE("entries stay for the retention period when instances are replaced")
{
    fixture f{3};
    for (std::size_t i = 0; i < 216; ++i)
    {
        // Each instance runs for an hour and starts with a new clock.
        f.replace(i % 3U);
        f.run(20min);
    }
    CHECK(f.min_removed_age >= retention);
    REQUIRE_FALSE(f.removed.empty());
    // With replaced instances an epoch may take up to twice as long.
    CHECK(f.max_stored <= static_cast<std::size_t>(retention / step * 2));
}

TEST_CASE("an epoch ends once, by any instance, and never early")
{
    retention_clock one{{15min, 2}};
    const time_point now{};
    one.on_marks({}, revision{5}, now);
    CHECK_FALSE(one.due(now + 14min));
    REQUIRE(one.due(now + 15min));
    CHECK(one.due(now + 15min)->starts == std::vector{revision{5}});

    // Another instance ended the epoch first: a new epoch starts.
    one.on_marks({{revision{5}}}, revision{9}, now + 15min);
    CHECK_FALSE(one.due(now + 29min));
    CHECK(one.cutoff() == revision{});
    one.on_marks({{revision{5}, revision{9}}}, revision{12}, now + 30min);
    CHECK(one.cutoff() == revision{5});
    // A stale read of an older version changes nothing.
    one.on_marks({{revision{5}}}, revision{9}, now + 31min);
    CHECK(one.cutoff() == revision{5});
    CHECK(
        one.due(now + 45min)->starts == std::vector{revision{9}, revision{12}});
}
