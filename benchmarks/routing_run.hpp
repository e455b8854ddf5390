#pragma once

#include "fleet_bound.hpp"
#include "routing/choice.hpp"
#include "routing/planner.hpp"
#include "simulation/fake_fleet.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace fireflysail::benchmarks
{

enum class routing_policy
{
    expected_completion,
    round_robin,
    least_lagged_load,
};

/// Requests that arrive at random, or of which so many are always under way.
struct routing_workload
{
    /// 0: closed loop.
    double requests_per_second = 0;
    std::size_t concurrency = 0;
    std::uint32_t least_prompt = 64;
    std::uint32_t most_prompt = 512;
    double mean_output = 128;
    /// Number of shared prompt prefixes; 0: none are shared.
    std::uint64_t prefixes = 0;
    std::uint32_t prefix_tokens = 0;
    /// Whether the choice is told of the prefix.
    bool prefix_known = true;
};

struct routing_setup
{
    routing_policy policy = routing_policy::expected_completion;
    routing_workload load;
    std::size_t instances = 9;
    duration report_interval = std::chrono::seconds{1};
    /// From the moment that a report tells of until instances have it.
    duration report_lag = std::chrono::seconds{1};
    std::uint64_t seed = 1;
};

struct routing_figures
{
    double tokens_per_second = 0;
    double first_token_p95_seconds = 0;
    double between_tokens_p95_seconds = 0;
    /// Largest queue of an engine over the mean, at the worst moment.
    double worst_queue_over_mean = 0;
    /// Streams on an engine, on average.
    double mean_queue = 0;
};

/// Mean work of the requests that the workload draws.
mean_request mean_of(const routing_workload& load);

/// Many entry instances that route streams to one fake fleet, each with its
/// own view of it.
class routing_run
{
public:
    routing_run(
        simulation::event_loop& loop,
        simulation::fake_fleet& fleet,
        const routing_setup& setup);
    ~routing_run();

    routing_run(const routing_run&) = delete;
    routing_run& operator=(const routing_run&) = delete;

    /// Runs for a while without measuring.
    void warm_up(duration time);

    /// Runs on and measures.
    routing_figures measure(duration time);

private:
    struct instance;
    struct request_state;

    void publish_reports();
    void deliver_reports(const fleet_snapshot& snapshot);
    void arrive();
    void start_request(std::size_t at);
    void dispatch(const std::shared_ptr<request_state>& request);
    void on_token(const std::shared_ptr<request_state>& request);
    void on_end(
        const std::shared_ptr<request_state>& request,
        simulation::stream_end how);
    const pipeline* choose(instance& at, const request_state& request);
    void sample_queues();

    simulation::event_loop& loop;
    simulation::fake_fleet& fleet;
    routing_setup setup;
    std::mt19937_64 random;
    std::shared_ptr<const route_table> table;
    absl::flat_hash_map<std::uint64_t, std::size_t> engine_by_key;
    std::vector<std::unique_ptr<instance>> instances;
    bool measuring = false;
    std::uint64_t tokens = 0;
    std::vector<double> first_tokens;
    std::vector<double> gaps;
    double worst_ratio = 0;
    double mean_sum = 0;
    std::size_t samples = 0;
};

} // namespace fireflysail::benchmarks
