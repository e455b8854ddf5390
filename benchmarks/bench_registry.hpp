#pragma once

#include "bench_report.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace fireflysail::benchmarks
{

enum class bench_time
{
    /// Deterministic; part of CI.
    virtual_clock,
    /// Measures this machine; only on request.
    wall_clock,
    /// Deterministic, with a bound that does not hold yet; listed in
    /// KNOWN-RED.txt and run by its name.
    known_red,
};

/// One benchmark: measures on the seed given and adds its figures.
struct bench
{
    std::string_view name;
    bench_time time = bench_time::virtual_clock;
    void (*run)(bench_report& report, std::uint64_t seed) = nullptr;
};

/// All benchmarks; a new one is a declaration and a line in
/// bench_registry.cpp, and a source file.
std::span<const bench> all_benches();

} // namespace fireflysail::benchmarks
