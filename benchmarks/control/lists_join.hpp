#pragma once

#include "bench_report.hpp"

#include <cstdint>

namespace fireflysail::benchmarks
{

/// Compares ways of joining the initial read of the two lists to the changes
/// that follow: changes lost, repeated and half seen, and store reads.
void measure_lists_join(bench_report& report, std::uint64_t seed);

} // namespace fireflysail::benchmarks
