#pragma once

#include "bench_report.hpp"

#include <cstdint>

namespace fireflysail::benchmarks
{

/// Short work beside stragglers thirty times longer, against FIFO.
void bench_head_of_line(bench_report& report, std::uint64_t seed);

/// The same on engines with four slots each, where an engine's longer steps
/// alone use up the bound.
void bench_head_of_line_few_slots(bench_report& report, std::uint64_t seed);

/// Demand that grows to four times the usual in a second and stays there for
/// 20 s, against FIFO with a fixed concurrency.
void bench_swing(bench_report& report, std::uint64_t seed);

/// Processor time that the queue takes for one request, with 600 slots and 710
/// workspaces at saturation.
void bench_queue_cost(bench_report& report, std::uint64_t seed);

} // namespace fireflysail::benchmarks
