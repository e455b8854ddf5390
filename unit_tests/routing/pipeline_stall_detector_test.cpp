#include "routing/pipeline_stall_detector.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t pipeline_a = 1;
constexpr std::uint64_t pipeline_b = 2;
const time_point start{1h};

server_id engine_of(std::uint64_t pipeline)
{
    return server_id{std::to_string(pipeline)};
}

/// Gives each run 100 events at intervals of `gap`. Returns the time of the
/// last ones.
time_point run_streams(
    pipeline_stall_detector& watch,
    const std::vector<run_id>& runs,
    duration gap)
{
    time_point now = start;
    for (int event = 0; event < 100; ++event)
    {
        now += gap;
        for (const run_id run : runs)
        {
            watch.on_event(run, now);
        }
    }
    return now;
}

std::vector<run_id>
begin(pipeline_stall_detector& watch, std::uint64_t pipeline, std::size_t count)
{
    std::vector<run_id> runs;
    for (std::size_t i = 0; i < count; ++i)
    {
        runs.push_back(watch.begin(pipeline, {engine_of(pipeline)}, start));
    }
    return runs;
}

} // namespace

TEST_CASE(
    "a pipeline whose streams all stop is detected within the gap objective")
{
    pipeline_stall_detector watch{{}};
    const auto stopped = begin(watch, pipeline_a, 5);
    const auto going = begin(watch, pipeline_b, 5);
    std::vector<run_id> all = stopped;
    all.insert(all.end(), going.begin(), going.end());
    const time_point last = run_streams(watch, all, 35ms);
    for (const run_id run : going)
    {
        watch.on_event(run, last + 90ms);
    }
    CHECK(watch.stalled_runs(last + 99ms).empty());
    CHECK(watch.stalled_runs(last + 100ms).size() == stopped.size());
}

TEST_CASE("a pipeline with one stopped stream among others is not stalled")
{
    pipeline_stall_detector watch{{}};
    const auto runs = begin(watch, pipeline_a, 5);
    time_point now = run_streams(watch, runs, 35ms);
    for (int i = 0; i < 50; ++i)
    {
        now += 35ms;
        watch.on_event(runs[0], now);
        CHECK(watch.stalled_runs(now).empty());
    }
}

TEST_CASE("a pipeline with a slow engine is not stalled")
{
    pipeline_stall_detector watch{{}};
    const auto runs = begin(watch, pipeline_a, 5);
    const time_point last = run_streams(watch, runs, 150ms);
    CHECK(watch.stalled_runs(last + 300ms).empty());
    CHECK(watch.stalled_runs(last + 400ms).size() == runs.size());
}

TEST_CASE("pipelines with few streams have a longer timeout")
{
    pipeline_stall_detector watch{{}};
    const auto runs = begin(watch, pipeline_a, 2);
    const time_point last = run_streams(watch, runs, 35ms);
    CHECK(watch.stalled_runs(last + 340ms).empty());
    CHECK(watch.stalled_runs(last + 350ms).size() == runs.size());
}

TEST_CASE("the timeout of the first event allows for prefill")
{
    pipeline_stall_detector watch{{}};
    const auto runs = begin(watch, pipeline_a, 1);
    CHECK(watch.stalled_runs(start + 899ms).empty());
    CHECK(watch.stalled_runs(start + 900ms) == runs);
}

TEST_CASE("runs that ended are not monitored")
{
    pipeline_stall_detector watch{{}};
    const auto runs = begin(watch, pipeline_a, 1);
    watch.end(runs.front());
    CHECK(watch.empty());
    CHECK(watch.stalled_runs(start + 1h).empty());
}

TEST_CASE("a single stream leaves a pipeline with a suspected stage")
{
    // In a large fleet most instances have one or two streams on each pipeline.
    // The few with enough streams detect the stall early and report the engine.
    pipeline_stall_detector watch{{}};
    const auto doubted = begin(watch, pipeline_a, 1);
    const auto other = begin(watch, pipeline_b, 1);
    std::vector<run_id> all = doubted;
    all.insert(all.end(), other.begin(), other.end());
    const time_point last = run_streams(watch, all, 35ms);
    watch.suspect(engine_of(pipeline_a), last + 90ms);
    CHECK(watch.stalled_runs(last + 99ms).empty());
    CHECK(watch.stalled_runs(last + 100ms) == doubted);
    SECTION("until the suspicion expires")
    {
        watch.on_event(doubted.front(), last + 1s);
        CHECK(watch.stalled_runs(last + 1s + 100ms) == other);
    }
}

TEST_CASE("a suspected stage shortens the timeout of the first event")
{
    pipeline_stall_detector watch{{}};
    const auto runs = begin(watch, pipeline_a, 1);
    watch.suspect(engine_of(pipeline_a), start + 50ms);
    CHECK(watch.stalled_runs(start + 249ms).empty());
    CHECK(watch.stalled_runs(start + 250ms) == runs);
}
