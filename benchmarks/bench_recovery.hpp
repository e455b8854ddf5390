#pragma once

#include "bench_report.hpp"

#include <cstdint>

namespace fireflysail::benchmarks
{

/// Engines that die under running streams, against a start from the beginning.
void bench_stage_death(bench_report& report, std::uint64_t seed);

/// Connections that go silent, against a fixed timeout.
void bench_silent_connection(bench_report& report, std::uint64_t seed);

/// Engines that stop with their connections open, against a fixed timeout.
void bench_hung_engine(bench_report& report, std::uint64_t seed);

/// One zone of three lost at 0.6 of the slots, against retrying at once.
void bench_zone_loss(bench_report& report, std::uint64_t seed);

/// A request that crashes each engine that runs it, against retrying at once.
void bench_crashing_request(bench_report& report, std::uint64_t seed);

} // namespace fireflysail::benchmarks
