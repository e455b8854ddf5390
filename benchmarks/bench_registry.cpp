#include "bench_registry.hpp"

#include "bench_queueing.hpp"
#include "bench_recovery.hpp"
#include "decision_bench.hpp"
#include "latency_bench.hpp"
#include "throughput_bench.hpp"

#include <array>

namespace fireflysail::benchmarks
{

void run_limits(bench_report& report, std::uint64_t seed);
void run_membership(bench_report& report, std::uint64_t seed);

std::span<const bench> all_benches()
{
    static const std::array benches{
        bench{"limits", bench_time::virtual_clock, &run_limits},
        bench{"membership", bench_time::virtual_clock, &run_membership},
        bench{"decision", bench_time::wall_clock, run_decision_bench},
        bench{"head_of_line", bench_time::virtual_clock, bench_head_of_line},
        bench{
            "head_of_line_few_slots",
            bench_time::known_red,
            bench_head_of_line_few_slots},
        bench{"queue_cost", bench_time::wall_clock, bench_queue_cost},
        bench{"swing", bench_time::virtual_clock, bench_swing},
        bench{"affinity", bench_time::virtual_clock, run_affinity_bench},
        bench{"herding", bench_time::virtual_clock, run_herding_bench},
        bench{"latency", bench_time::virtual_clock, run_latency_bench},
        bench{"throughput", bench_time::virtual_clock, run_throughput_bench},
        bench{"stage_death", bench_time::virtual_clock, bench_stage_death},
        bench{
            "silent_connection",
            bench_time::virtual_clock,
            bench_silent_connection},
        bench{"hung_engine", bench_time::virtual_clock, bench_hung_engine},
        bench{"zone_loss", bench_time::virtual_clock, bench_zone_loss},
        bench{
            "crashing_request",
            bench_time::virtual_clock,
            bench_crashing_request},
    };
    return benches;
}

} // namespace fireflysail::benchmarks
