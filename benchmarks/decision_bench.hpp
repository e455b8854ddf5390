#pragma once

#include "bench_report.hpp"

#include <cstdint>

namespace fireflysail::benchmarks
{

/// Time of this machine for a choice and for replanning after one change, at
/// 600 engines and 10 models.
void run_decision_bench(bench_report& report, std::uint64_t seed);

} // namespace fireflysail::benchmarks
