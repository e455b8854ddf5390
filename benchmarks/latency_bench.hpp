#pragma once

#include "bench_report.hpp"

#include <cstdint>

namespace fireflysail::benchmarks
{

/// First token and time between tokens at 0.8 of the bound of the fleet.
void run_latency_bench(bench_report& report, std::uint64_t seed);

/// Worst queue of an engine among 390 entry instances that see load 2 s late.
void run_herding_bench(bench_report& report, std::uint64_t seed);

/// Time to the first token when prompts share prefixes.
void run_affinity_bench(bench_report& report, std::uint64_t seed);

} // namespace fireflysail::benchmarks
