#pragma once

#include "bench_report.hpp"

#include <cstdint>

namespace fireflysail::benchmarks
{

/// Tokens a second at saturation against the bound of the fleet, of mixed
/// kinds, whole and after an eighth of it died.
void run_throughput_bench(bench_report& report, std::uint64_t seed);

} // namespace fireflysail::benchmarks
