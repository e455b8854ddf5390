#include "bench_registry.hpp"

#include <cxxopts.hpp>

#include <cstdint>
#include <iostream>
#include <string>

using namespace fireflysail::benchmarks;

namespace
{

struct selection
{
    bool wall_clock = false;
    std::string name;
    std::uint64_t seed = 1;

    bool includes(const bench& candidate) const
    {
        const bench_time wanted_time = this->wall_clock
                                           ? bench_time::wall_clock
                                           : bench_time::virtual_clock;
        const bool wanted = candidate.time == wanted_time;
        return this->name.empty() ? wanted : candidate.name == this->name;
    }
};

int run(const selection& chosen)
{
    bench_report report{std::cout};
    for (const bench& candidate : all_benches())
    {
        if (chosen.includes(candidate))
        {
            candidate.run(report, chosen.seed);
        }
    }
    return report.exit_status();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{
        "bench", "Prints one JSON line a figure; exits 1 on a broken bound."};
    options.add_options()("real", "the wall-clock benchmarks instead")(
        "only", "one benchmark", cxxopts::value<std::string>())(
        "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "help", "this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    selection chosen;
    chosen.wall_clock = parsed.count("real") > 0;
    chosen.seed = parsed["seed"].as<std::uint64_t>();
    if (parsed.count("only") > 0)
    {
        chosen.name = parsed["only"].as<std::string>();
    }
    return run(chosen);
}
