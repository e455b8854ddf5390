#pragma once

#include "routing/admission_queue.hpp"
#include "routing/concurrency_limit.hpp"
#include "simulation/event_loop.hpp"
#include "simulation/fake_fleet.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace fireflysail::simulation
{

/// One stream that asks the pool for an answer, and what became of it.
struct pool_job
{
    time_point arrival;
    request_class priority = request_class::standard;
    std::string workspace;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// Latest useful end.
    time_point deadline = time_point::max();
    /// Length that the router expects, which differs from the true one.
    std::uint32_t expected_tokens = 0;

    std::uint32_t delivered = 0;
    std::optional<time_point> first_token{};
    std::optional<time_point> finished{};
    std::optional<time_point> refused{};
    int preemptions = 0;
    stream_key stream = 0;
    std::size_t engine = 0;
    time_point dispatched{};
    duration expected_first{};
    bool awaits_first = false;
    std::uint32_t prefilling = 0;
};

/// Plain policy: in order of arrival, a fixed number at each engine, nothing
/// refused.
struct fifo_policy
{
    std::size_t slots_per_engine = 16;
};

/// The admission queue with learned limits.
struct managed_policy
{
    admission_queue::options queue;
    concurrency_limit::options limit;
};

using pool_policy = std::variant<fifo_policy, managed_policy>;

struct pool_shape
{
    std::size_t engines = 4;
    std::uint32_t layers = 40;
    engine_shape engine;
};

/// Engines that each hold the whole model, behind one queue.
class serving_pool
{
public:
    serving_pool(const pool_shape& shape, pool_policy policy);

    void arrive(const pool_job& job);

    void run_until(time_point end);

    const std::vector<pool_job>& jobs() const;

    std::uint64_t tokens_delivered() const;

    /// Time that `job` takes without waiting and without prefills beside it, at
    /// the step of a full batch.
    duration nominal(const pool_job& job) const;

private:
    void submit(std::size_t job);
    void tick();
    void poll();
    void dispatch(std::size_t job);
    duration prefill_time(std::uint32_t tokens) const;
    duration full_step() const;
    void on_token(std::size_t job);
    void end_prefill(pool_job& job);
    void on_end(std::size_t job);
    void preempt_job(std::size_t job);
    std::size_t pick_engine() const;
    std::size_t room_at(std::size_t engine) const;
    std::size_t capacity() const;
    queue_entry entry_of(std::size_t job) const;
    duration expected_for(const pool_job& job, std::uint32_t tokens) const;

    pool_shape shape;
    pool_policy policy;
    event_loop loop;
    fake_fleet fleet;
    std::vector<pool_job> all_jobs;
    std::vector<std::size_t> in_flight;
    /// Tokens of prefills sent to each engine that gave no token yet.
    std::vector<std::uint32_t> prefilling;
    std::vector<concurrency_limit> limits;
    std::unique_ptr<admission_queue> queue;
    std::deque<std::size_t> fifo;
    std::uint64_t tokens = 0;
};

} // namespace fireflysail::simulation
