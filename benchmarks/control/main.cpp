#include "bench_report.hpp"
#include "control/controller_cost.hpp"
#include "control/in_force.hpp"
#include "control/lists_join.hpp"

#include <cxxopts.hpp>

#include <cstdint>
#include <iostream>

using namespace fireflysail::benchmarks;

namespace
{

struct selection
{
    bool wall_clock = false;
    std::uint64_t seed = 1;
};

int run(const selection& chosen)
{
    bench_report report{std::cout};
    if (chosen.wall_clock)
    {
        measure_controller_cost(report, chosen.seed);
        return report.exit_status();
    }
    measure_lists_join(report, chosen.seed);
    measure_in_force(report, chosen.seed);
    return report.exit_status();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{
        "bench_control",
        "Prints one JSON line a figure; exits 1 on a broken bound."};
    options.add_options()("real", "the wall-clock benchmarks instead")(
        "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "help", "this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    return run({parsed.count("real") > 0, parsed["seed"].as<std::uint64_t>()});
}
