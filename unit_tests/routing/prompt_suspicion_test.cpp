#include "routing/prompt_suspicion.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const prompt_part common{1};
const prompt_part deadly{2};
const prompt_part other{3};

/// Reports crashes of runs, each with a content and at an engine of its own,
/// one second after the other.
struct fixture
{
    std::optional<part_quarantine>
    crash(std::vector<prompt_part> parts, bool answered = true)
    {
        this->now += 1s;
        return this->crash_at_once(std::move(parts), answered);
    }

    std::optional<part_quarantine>
    crash_at_once(std::vector<prompt_part> parts, bool answered = true)
    {
        const auto content = this->request(std::move(parts));
        this->last_engine = server_id{fmt::format("e{}", this->requests)};
        return this->suspicion.on_crashed(
            {this->last_engine, content, answered}, this->now);
    }

    /// A run that waited at the engine that crashed last.
    void lose_beside(std::vector<prompt_part> parts)
    {
        this->suspicion.on_crashed(
            {this->last_engine, this->request(std::move(parts)), false},
            this->now);
    }

    /// A request of its own content.
    request_content request(std::vector<prompt_part> parts)
    {
        return {fingerprint{1'000 + ++this->requests}, std::move(parts)};
    }

    suspicion_level level_of(std::vector<prompt_part> parts)
    {
        return this->suspicion
            .status_of(this->request(std::move(parts)), this->now)
            .level;
    }

    void begin(std::vector<prompt_part> parts)
    {
        this->suspicion.on_begun(this->request(std::move(parts)), this->now);
    }

    time_point now{1h};
    prompt_suspicion suspicion{prompt_suspicion::options{}};
    std::uint64_t requests = 0;
    server_id last_engine;
};

} // namespace

TEST_CASE_METHOD(
    fixture, "a part that is in three crashed runs of several is quarantined")
{
    CHECK_FALSE(this->crash({common, deadly}));
    this->begin({common});
    CHECK_FALSE(this->crash({common, deadly}));
    this->begin({common});
    const auto begun = this->crash({common, deadly});
    REQUIRE(begun);
    CHECK(begun->parts == std::vector{deadly});
    CHECK(this->level_of({common, deadly}) == suspicion_level::quarantined);
    CHECK(this->level_of({other, deadly}) == suspicion_level::quarantined);
    CHECK(this->level_of({common}) != suspicion_level::quarantined);
}

TEST_CASE_METHOD(
    fixture, "parts that crashed only together are refused only together")
{
    this->crash({common, deadly});
    this->crash({common, deadly});
    const auto begun = this->crash({common, deadly});
    REQUIRE(begun);
    CHECK(begun->parts == std::vector{common, deadly});
    CHECK(this->level_of({common}) != suspicion_level::quarantined);
    CHECK(this->level_of({deadly}) != suspicion_level::quarantined);
    SECTION("until one of them begins alone")
    {
        this->begin({common});
        CHECK(this->level_of({deadly}) == suspicion_level::quarantined);
        CHECK(this->level_of({common}) == suspicion_level::normal);
    }
    SECTION("or one of them crashes alone")
    {
        CHECK(this->crash({deadly}));
        CHECK(this->level_of({deadly}) == suspicion_level::quarantined);
    }
}

TEST_CASE_METHOD(
    fixture, "a part that begins between crashes is never quarantined")
{
    for (int round = 0; round < 20; ++round)
    {
        CHECK_FALSE(this->crash({common}));
        CHECK_FALSE(this->crash({common}));
        this->begin({common, other});
    }
    CHECK(this->level_of({common}) == suspicion_level::normal);
    CHECK(this->suspicion.empty() == false);
}

TEST_CASE_METHOD(fixture, "engines that are lost together are one crash")
{
    this->now += 1s;
    for (int engine = 0; engine < 10; ++engine)
    {
        CHECK_FALSE(this->crash_at_once({common}));
    }
    CHECK(this->level_of({common}) != suspicion_level::quarantined);
}

TEST_CASE_METHOD(
    fixture, "requests beside the one that crashed their engine are not blamed")
{
    // Each crash ends runs of a popular part that waited at the engine.
    for (int round = 0; round < 2; ++round)
    {
        this->crash({deadly});
        this->lose_beside({other});
    }
    this->crash({deadly});
    CHECK(this->level_of({deadly}) == suspicion_level::quarantined);
    for (int round = 0; round < 4; ++round)
    {
        this->crash({other}, false);
    }
    CHECK(this->level_of({other}) != suspicion_level::quarantined);
}

TEST_CASE_METHOD(
    fixture, "runs at an engine that a quarantined part crashed do not count")
{
    this->crash({deadly});
    this->crash({deadly});
    this->crash({deadly});
    for (int round = 0; round < 4; ++round)
    {
        this->now += 200ms;
        const server_id engine{fmt::format("lost{}", round)};
        this->suspicion.on_crashed(
            {engine, this->request({deadly}), true}, this->now);
        this->suspicion.on_crashed(
            {engine, this->request({other}), true}, this->now);
    }
    CHECK(this->level_of({other}) == suspicion_level::normal);
}

TEST_CASE_METHOD(
    fixture, "a request that crashes two engines is quarantined by itself")
{
    const auto content = this->request({common});
    this->suspicion.on_crashed({server_id{"a"}, content, true}, this->now);
    this->now += 1s;
    const auto begun =
        this->suspicion.on_crashed({server_id{"b"}, content, true}, this->now);
    REQUIRE(begun);
    CHECK(
        this->suspicion.status_of(content, this->now).level ==
        suspicion_level::quarantined);
    CHECK(this->level_of({common}) != suspicion_level::quarantined);
}

TEST_CASE_METHOD(
    fixture, "the parts of requests that are quarantined stay suspects")
{
    for (int round = 0; round < 2; ++round)
    {
        const auto content = this->request({deadly});
        for (const char* const engine : {"a", "b"})
        {
            this->now += 1s;
            this->suspicion.on_crashed(
                {server_id{engine}, content, true}, this->now);
        }
    }
    CHECK(this->level_of({deadly}) == suspicion_level::quarantined);
}

TEST_CASE_METHOD(fixture, "one request is let through after a quarantine")
{
    this->crash({deadly});
    this->crash({deadly});
    const auto begun = this->crash({deadly});
    REQUIRE(begun);
    const auto trial = this->request({deadly});
    CHECK_FALSE(this->suspicion.begin_trial(trial, this->now));
    this->now += begun->left;
    CHECK(this->level_of({deadly}) == suspicion_level::suspect);
    const auto renewed = this->suspicion.begin_trial(trial, this->now);
    REQUIRE(renewed);
    CHECK(renewed->left > begun->left);
    CHECK(this->level_of({deadly}) == suspicion_level::quarantined);
    SECTION("and ends it when it begins")
    {
        this->suspicion.on_begun(trial, this->now);
        CHECK(this->level_of({deadly}) == suspicion_level::normal);
    }
    SECTION("and leaves it in force when it crashes")
    {
        this->suspicion.on_crashed({server_id{"z"}, trial, true}, this->now);
        CHECK(this->level_of({deadly}) == suspicion_level::quarantined);
    }
}

TEST_CASE_METHOD(
    fixture, "a quarantine that is told late does not undo what began since")
{
    this->crash({deadly});
    this->crash({deadly});
    this->crash({deadly});
    const auto told = this->suspicion.export_quarantines(8, this->now);
    REQUIRE(told.size() == 1);
    prompt_suspicion peer{prompt_suspicion::options{}};
    CHECK(peer.import_quarantine(told.front(), this->now).is_new);
    CHECK_FALSE(peer.import_quarantine(told.front(), this->now).is_new);
    this->now += 31s;
    const auto begun = peer.on_begun(this->request({deadly}), this->now);
    CHECK(begun.parts == std::vector{deadly});
    part_quarantine late = told.front();
    late.age = 32s;
    const auto merged = peer.import_quarantine(late, this->now);
    CHECK_FALSE(merged.is_new);
    CHECK(merged.outdated.parts == std::vector{deadly});
    CHECK(peer.quarantined_parts().empty());
    // One that began after that is another matter.
    this->now += 10s;
    CHECK(peer.import_quarantine({{deadly}, 1, 1s, 29s}, this->now).is_new);
}

TEST_CASE_METHOD(fixture, "what is known of crashes is bounded and ages out")
{
    for (std::uint64_t part = 0; part < 10'000; ++part)
    {
        this->crash_at_once({prompt_part{100'000 + part}});
    }
    CHECK(
        this->suspicion.suspect_count() <=
        prompt_suspicion::options{}.max_suspects + 2);
    this->now += prompt_suspicion::options{}.evidence_lifetime;
    this->crash_at_once({common});
    CHECK(this->suspicion.suspect_count() == 2);
}
