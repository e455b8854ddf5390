#include "bench_queueing.hpp"

#include "routing/admission_queue.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <vector>

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t slots = 600;
constexpr int rounds = 200000;
constexpr double tail = 0.99;

queue_entry draw_entry(std::uint64_t ticket, std::mt19937_64& random)
{
    queue_entry entry;
    entry.ticket = ticket_id{ticket};
    entry.workspace = workspace_id{fmt::format("workspace-{}", random() % 710)};
    entry.priority = static_cast<request_class>(random() % 3);
    entry.expected = std::chrono::milliseconds{500 + random() % 1000};
    entry.preemptible = true;
    return entry;
}

} // namespace

/// Times one request's part in the queue: submit, the release of another one
/// and the poll that follows.
void bench_queue_cost(bench_report& report, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    admission_queue queue{admission_queue::options{}};
    queue.set_capacity(slots);
    time_point now{};
    std::deque<ticket_id> running;
    std::vector<double> costs;
    costs.reserve(rounds);
    for (std::uint64_t i = 0; i < rounds; ++i)
    {
        now += 1ms;
        const queue_entry entry = draw_entry(i, random);
        const auto begin = std::chrono::steady_clock::now();
        const submission answer = queue.submit(entry, now);
        if (running.size() == slots)
        {
            queue.release(running.front(), slot_end::finished, now);
        }
        const auto decisions = queue.poll(now);
        const auto end = std::chrono::steady_clock::now();
        costs.push_back(
            std::chrono::duration<double, std::micro>(end - begin).count());
        if (running.size() == slots)
        {
            running.pop_front();
        }
        if (std::holds_alternative<admitted>(answer))
        {
            running.push_back(entry.ticket);
        }
        for (const queue_decision& decision : decisions)
        {
            if (const auto* start = std::get_if<admitted>(&decision))
            {
                running.push_back(start->ticket);
            }
        }
    }
    std::ranges::sort(costs);
    const auto at =
        static_cast<std::size_t>(tail * static_cast<double>(costs.size()));
    report.add(
        {"queue_cost_p99",
         costs[at],
         "us",
         std::nullopt,
         bound{bound_kind::at_most, 20},
         seed});
}

} // namespace fireflysail::benchmarks
