#pragma once

#include "bench_report.hpp"

#include <cstdint>

namespace fireflysail::benchmarks
{

/// Time from the acceptance of an edit until every instance runs it.
void measure_in_force(bench_report& report, std::uint64_t seed);

} // namespace fireflysail::benchmarks
