#include "control/crash_registry.hpp"

#include "control/store_decorator.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <memory>

using namespace fireflysail;
using namespace fireflysail::testing;
using namespace std::chrono_literals;

namespace
{

const prompt_part common{1};
const prompt_part deadly{2};

/// Three instances before one store. What one tells reaches the others at once,
/// unless messages are lost.
struct fixture
{
    fixture()
    {
        for (int number = 0; number < 3; ++number)
        {
            this->start_instance();
        }
    }

    crash_registry& start_instance()
    {
        this->instances.push_back(
            std::make_unique<crash_registry>(this->decorated, this->time));
        crash_registry* const self = this->instances.back().get();
        self->set_share(
            [this, self](const crash_news& news)
            {
                this->tell_others(self, news);
            });
        return *self;
    }

    void tell_others(const crash_registry* sender, const crash_news& news)
    {
        if (this->is_losing_messages)
        {
            return;
        }
        for (const auto& instance : this->instances)
        {
            if (instance.get() != sender)
            {
                instance->on_peer_news(news);
            }
        }
    }

    request_content request(std::vector<prompt_part> parts)
    {
        return {fingerprint{1'000 + ++this->requests}, std::move(parts)};
    }

    /// Crashes one engine after the other, each at the next instance.
    void crash_engines(int count)
    {
        for (int round = 0; round < count; ++round)
        {
            this->time.advance(1s);
            const auto content = this->request({common, deadly});
            this->instances[static_cast<std::size_t>(round) % 3]
                ->on_run_crashed(
                    {server_id{fmt::format("e{}", this->requests)},
                     content,
                     true});
        }
    }

    bool is_quarantined(const crash_registry& instance)
    {
        return instance.status_of(this->request({common, deadly})).level ==
               suspicion_level::quarantined;
    }

    bool everywhere_quarantined()
    {
        return std::ranges::all_of(
            this->instances,
            [this](const auto& instance)
            {
                return this->is_quarantined(*instance);
            });
    }

    void publish()
    {
        for (const auto& instance : this->instances)
        {
            instance->publish();
        }
    }

    void read_store(crash_registry& instance)
    {
        const auto listed =
            this->objects.list(instance.kinds(), this->time.now() + 1s);
        REQUIRE(listed);
        instance.on_snapshot(listed.value());
    }

    std::size_t stored()
    {
        return this->objects.list({crash_registry::kind}, this->time.now() + 1s)
            .value()
            .objects.size();
    }

    manual_clock time;
    store_model objects{time};
    store_decorator decorated{objects};
    std::vector<std::unique_ptr<crash_registry>> instances;
    bool is_losing_messages = false;
    std::uint64_t requests = 0;
};

} // namespace

TEST_CASE_METHOD(
    fixture, "crashes that each instance saw once quarantine a part at all")
{
    this->crash_engines(2);
    CHECK_FALSE(this->is_quarantined(*this->instances[0]));
    this->crash_engines(1);
    CHECK(this->everywhere_quarantined());
}

TEST_CASE_METHOD(
    fixture, "a quarantine is in force at an instance that starts anew")
{
    this->crash_engines(3);
    this->publish();
    // All instances were lost: only the store knows of it.
    this->instances.clear();
    crash_registry& fresh = this->start_instance();
    CHECK_FALSE(this->is_quarantined(fresh));
    this->read_store(fresh);
    CHECK(this->is_quarantined(fresh));
}

TEST_CASE_METHOD(fixture, "one instance writes a quarantine, unless it is lost")
{
    this->crash_engines(3);
    this->instances[1]->publish();
    CHECK(this->stored() == 0);
    SECTION("the one that found it")
    {
        // The last crash was at the instance that began with the first.
        this->publish();
        CHECK(this->stored() == 1);
    }
    SECTION("another one later")
    {
        this->time.advance(10s);
        this->instances[1]->publish();
        CHECK(this->stored() == 1);
    }
}

TEST_CASE_METHOD(fixture, "a quarantine that the store did not take is written")
{
    this->decorated.fail_create_of_kind = crash_registry::kind;
    this->crash_engines(3);
    this->publish();
    CHECK(this->stored() == 0);
    this->decorated.fail_create_of_kind.clear();
    this->publish();
    CHECK(this->stored() == 1);
}

TEST_CASE_METHOD(
    fixture, "a quarantine that a restored store lacks is written again")
{
    this->crash_engines(3);
    this->publish();
    this->time.advance(10s);
    for (const auto& instance : this->instances)
    {
        this->read_store(*instance);
    }
    this->publish();
    REQUIRE(this->stored() == 1);
    // The copy was taken before.
    const stored_object lost =
        this->objects.list({crash_registry::kind}, this->time.now() + 1s)
            .value()
            .objects.front();
    REQUIRE(
        this->objects.remove(lost.key, lost.version, this->time.now() + 1s));
    for (const auto& instance : this->instances)
    {
        this->read_store(*instance);
    }
    this->time.advance(10s);
    this->publish();
    CHECK(this->stored() == 1);
}

TEST_CASE_METHOD(
    fixture, "an instance that missed a quarantine is told of it again")
{
    this->crash_engines(2);
    this->is_losing_messages = true;
    this->crash_engines(1);
    CHECK_FALSE(this->everywhere_quarantined());
    this->is_losing_messages = false;
    for (const crash_news& news : this->instances[0]->news_to_repeat())
    {
        this->tell_others(this->instances[0].get(), news);
    }
    CHECK(this->everywhere_quarantined());
}

TEST_CASE_METHOD(
    fixture, "a part that begins is cleared at all instances and in the store")
{
    this->crash_engines(3);
    this->publish();
    this->time.advance(31s);
    const auto trial = this->request({common, deadly});
    CHECK(this->instances[0]->admit(trial).is_trial);
    CHECK_FALSE(this->instances[0]->admit(trial).is_trial);
    CHECK_FALSE(this->instances[1]->admit(trial).is_trial);
    CHECK(this->everywhere_quarantined());
    // One instance does not hear of what follows.
    this->time.advance(50ms);
    this->is_losing_messages = true;
    this->instances[0]->on_run_begun(trial);
    this->is_losing_messages = false;
    CHECK_FALSE(this->is_quarantined(*this->instances[0]));
    CHECK(this->is_quarantined(*this->instances[1]));
    for (const auto& instance : this->instances)
    {
        for (const crash_news& news : instance->news_to_repeat())
        {
            this->tell_others(instance.get(), news);
        }
    }
    CHECK_FALSE(this->is_quarantined(*this->instances[1]));
    CHECK_FALSE(this->is_quarantined(*this->instances[2]));
    this->time.advance(10s);
    this->publish();
    CHECK(this->stored() == 0);
}

TEST_CASE_METHOD(
    fixture, "what the store still holds does not undo what began since")
{
    this->crash_engines(3);
    this->publish();
    this->time.advance(31s);
    const auto trial = this->request({common, deadly});
    this->instances[0]->admit(trial);
    this->time.advance(50ms);
    this->instances[0]->on_run_begun(trial);
    crash_registry& fresh = this->start_instance();
    this->read_store(fresh);
    CHECK(this->is_quarantined(fresh));
    for (const crash_news& news : fresh.news_to_repeat())
    {
        this->tell_others(&fresh, news);
    }
    CHECK_FALSE(this->is_quarantined(fresh));
    CHECK_FALSE(this->is_quarantined(*this->instances[1]));
}

TEST_CASE_METHOD(fixture, "an object that names no parts quarantines nothing")
{
    REQUIRE(this->objects.create(
        {crash_registry::kind, "parts-7"}, "odd", this->time.now() + 1s));
    REQUIRE(this->objects.create(
        {crash_registry::kind, "parts-8"}, "", this->time.now() + 1s));
    crash_registry& fresh = this->start_instance();
    this->read_store(fresh);
    CHECK(fresh.counted().quarantined_parts == 0);
}
