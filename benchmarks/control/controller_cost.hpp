#pragma once

#include "bench_report.hpp"

#include <cstdint>

namespace fireflysail::benchmarks
{

/// Processor time of publishing, and the size of a hand-over between peers.
void measure_controller_cost(bench_report& report, std::uint64_t seed);

} // namespace fireflysail::benchmarks
