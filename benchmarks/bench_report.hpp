#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

namespace fireflysail::benchmarks
{

/// Which side of the bound is good.
enum class bound_kind
{
    at_least,
    at_most,
};

struct bound
{
    bound_kind kind = bound_kind::at_least;
    double limit = 0;
};

/// One measured quantity beside that of the plain policy it replaces.
struct figure
{
    std::string name;
    double value = 0;
    std::string unit;
    std::optional<double> baseline;
    std::optional<bound> limit;
    std::uint64_t seed = 0;
};

bool holds(const figure& measured);

/// Prints one JSON line for each figure and remembers whether a bound broke.
class bench_report
{
public:
    explicit bench_report(std::ostream& out);

    void add(const figure& measured);

    /// 0 while every bound holds, else 1.
    int exit_status() const;

private:
    std::ostream& out;
    bool broken = false;
};

} // namespace fireflysail::benchmarks
