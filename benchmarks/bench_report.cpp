#include "bench_report.hpp"

#include <fmt/format.h>

namespace fireflysail::benchmarks
{

namespace
{

constexpr double smallest_baseline = 1e-12;

std::string optional_number(const std::optional<double>& number)
{
    return number ? fmt::format("{:.6g}", *number) : "null";
}

std::optional<double> ratio(const figure& measured)
{
    if (!measured.baseline || *measured.baseline < smallest_baseline)
    {
        return std::nullopt;
    }
    return measured.value / *measured.baseline;
}

std::string describe(const std::optional<bound>& limit)
{
    if (!limit)
    {
        return "null";
    }
    const char* sign = limit->kind == bound_kind::at_least ? ">=" : "<=";
    return fmt::format(R"("{} {:.6g}")", sign, limit->limit);
}

} // namespace

bool holds(const figure& measured)
{
    if (!measured.limit)
    {
        return true;
    }
    return measured.limit->kind == bound_kind::at_least
               ? measured.value >= measured.limit->limit
               : measured.value <= measured.limit->limit;
}

bench_report::bench_report(std::ostream& out)
    : out{out}
{
}

void bench_report::add(const figure& measured)
{
    const bool good = holds(measured);
    this->broken = this->broken || !good;
    this->out << fmt::format(
                     R"({{"name":"{}","value":{:.6g},"unit":"{}",)"
                     R"("baseline":{},"ratio":{},"bound":{},)"
                     R"("holds":{},"seed":{}}})",
                     measured.name,
                     measured.value,
                     measured.unit,
                     optional_number(measured.baseline),
                     optional_number(ratio(measured)),
                     describe(measured.limit),
                     good,
                     measured.seed)
              << std::endl;
}

int bench_report::exit_status() const
{
    return this->broken ? 1 : 0;
}

} // namespace fireflysail::benchmarks
