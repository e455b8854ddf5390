#include "common/cell_candidates.hpp"
#include "common/snapshot_cell.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace fireflysail;

namespace
{

struct value
{
    std::array<int, 16> fields{};
};

/// Threads that call `work` until the end of the scope.
class background_threads
{
public:
    template <class Work>
    background_threads(int count, Work work)
    {
        for (int i = 0; i < count; ++i)
        {
            this->threads.emplace_back(
                [this, work]
                {
                    while (!this->stopped.load(std::memory_order_relaxed))
                    {
                        work();
                    }
                });
        }
    }

    ~background_threads()
    {
        this->stopped = true;
        for (auto& thread : this->threads)
        {
            thread.join();
        }
    }

    background_threads(const background_threads&) = delete;
    background_threads& operator=(const background_threads&) = delete;

private:
    std::atomic<bool> stopped{false};
    std::vector<std::thread> threads;
};

void spin(std::int64_t steps)
{
    for (std::int64_t i = 0; i < steps; ++i)
    {
        benchmark::DoNotOptimize(i);
    }
}

// One publication beside `readers` threads that do `pause` steps of other work
// between two reads.
template <class Cell>
void publish(benchmark::State& state)
{
    Cell cell;
    const std::int64_t pause = state.range(1);
    const background_threads readers{
        static_cast<int>(state.range(0)),
        [&cell, pause]
        {
            benchmark::DoNotOptimize(cell.load());
            spin(pause);
        }};
    double longest = 0;
    for (auto _ : state)
    {
        auto next = std::make_shared<value>();
        const auto before = std::chrono::steady_clock::now();
        cell.publish(std::move(next));
        const std::chrono::duration<double> spent =
            std::chrono::steady_clock::now() - before;
        state.SetIterationTime(spent.count());
        longest = std::max(longest, spent.count());
    }
    state.counters["longest_us"] = longest * 1e6;
}

template <class Cell>
Cell& shared_cell()
{
    static Cell cell;
    return cell;
}

// Reads by 1 to 4 threads while a writer publishes 1000 times a second, which
// is more often than any fleet changes.
template <class Cell>
class paced_writer
{
public:
    explicit paced_writer(bool active)
        : writer{
              active ? 1 : 0,
              []
              {
                  shared_cell<Cell>().publish(std::make_shared<value>());
                  std::this_thread::sleep_for(std::chrono::milliseconds{1});
              }}
    {
    }

private:
    background_threads writer;
};

template <class Cell>
void load(benchmark::State& state)
{
    const paced_writer<Cell> writer{state.thread_index() == 0};
    const Cell& cell = shared_cell<Cell>();
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(cell.load());
    }
}

template <class Cell>
void read(benchmark::State& state)
{
    const paced_writer<Cell> writer{state.thread_index() == 0};
    const Cell& cell = shared_cell<Cell>();
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(cell.read(
            [](const value& held)
            {
                return held.fields[0];
            }));
    }
}

template <class Cell>
void add(const std::string& name)
{
    benchmark::RegisterBenchmark((name + "/publish").c_str(), publish<Cell>)
        ->ArgNames({"readers", "pause"})
        ->ArgsProduct({{0, 1, 2, 4}, {0, 1000}})
        ->UseManualTime();
    benchmark::RegisterBenchmark((name + "/load").c_str(), load<Cell>)
        ->ThreadRange(1, 4)
        ->UseRealTime();
    benchmark::RegisterBenchmark((name + "/read").c_str(), read<Cell>)
        ->ThreadRange(1, 4)
        ->UseRealTime();
}

} // namespace

int main(int argc, char** argv)
{
    benchmark::Initialize(&argc, argv);
    add<snapshot_cell<value>>("product");
    add<atomic_cell<value>>("atomic");
    add<deferred_cell<value>>("deferred");
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
