#pragma once

#include "routing/crash_suspicion.hpp"
#include "routing/progress_monitor.hpp"
#include "routing/recovery.hpp"
#include "simulation/event_loop.hpp"
#include "simulation/fake_fleet.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace fireflysail::simulation
{

enum class recovery_mode
{
    /// Resume after the last delivered token, as the router decides.
    managed,
    /// Start again elsewhere at once, after a fixed timeout when silent.
    plain,
};

struct recovery_shape
{
    std::size_t zones = 3;
    std::size_t engines_per_zone_and_stage = 4;
    /// Streams that run at a time, on average.
    double concurrency = 115;
};

/// One caller's stream over all its attempts.
struct caller_stream
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint32_t delivered = 0;
    std::uint64_t print = 0;
    time_point arrival;
    std::optional<time_point> finished{};
    std::optional<outcome> given_up{};
    /// The latest fault that hit it, and its next token after that.
    std::optional<time_point> fault_at{};
    std::vector<duration> gaps{};
    /// Tokens that came twice or after a missing one.
    int misordered = 0;
    int attempts = 0;
    /// Engine time spent on all attempts, and what one attempt needs.
    duration work{};
    duration ideal_work{};
    bool hit = false;

    std::vector<std::size_t> engines{};
    stream_key stream = 0;
    std::uint64_t attempt = 0;
    std::optional<request_recovery> recovery{};
    std::optional<progress_monitor> monitor{};
    std::uint32_t produced = 0;
};

/// Two-stage pipelines in several zones under steady load, with faults.
class recovery_world
{
public:
    recovery_world(
        const recovery_shape& shape, recovery_mode mode, std::uint64_t seed);

    void run_until(time_point end);
    void at(time_point when, event_loop::callback action);

    /// Kills one engine that is alive, and revives it some time later.
    void kill_some_engine();
    void kill_zone(std::size_t zone);
    /// One engine keeps its connections open but does nothing for some time.
    void hang_some_engine();
    /// The connection of one running stream goes silent.
    void silence_some_stream();
    /// Sends a request whose content crashes engines.
    void send_crasher();
    /// No new streams from now on.
    void stop_arrivals();

    const std::vector<caller_stream>& callers() const;
    int engines_crashed_by_request() const;

private:
    struct engine_state
    {
        std::size_t stage = 0;
        std::size_t zone = 0;
        bool alive = true;
        std::size_t in_flight = 0;
        time_point last_token{};
        /// Not picked until then after it was found to hang.
        time_point avoided_until{};
    };

    void arrive();
    void launch(std::size_t caller, const std::vector<fake_stage>& stages);
    void leave_engines(caller_stream& caller);
    void on_token(std::size_t caller, std::uint64_t attempt, token_index index);
    void on_end(std::size_t caller, std::uint64_t attempt, stream_end how);
    void watch(std::size_t caller, std::uint64_t attempt);
    void fail(std::size_t caller, const attempt_failure& failure);
    void restart(std::size_t caller);
    void follow(
        std::size_t caller,
        const attempt_failure& failure,
        const std::vector<attempt_stage>& stages);
    void resume(
        std::size_t caller,
        const attempt_failure& failure,
        const std::vector<attempt_stage>& stages,
        const resume_elsewhere& step);
    void kill(std::size_t engine);
    void crash_if_poisoned(std::size_t caller, std::uint64_t attempt);
    std::optional<std::size_t> pick(
        std::size_t stage,
        std::size_t near,
        bool isolated,
        const std::vector<server_id>& avoid) const;
    void find_stalled(const caller_stream& silent);
    std::vector<fake_stage> fresh_stages();
    std::vector<attempt_stage> stages_of(const caller_stream& caller) const;
    duration prefill_work(
        const caller_stream& caller,
        const std::vector<fake_stage>& stages) const;
    static server_id server_of(std::size_t engine);
    std::size_t engine_of(const server_id& server) const;

    recovery_shape shape;
    recovery_mode mode;
    std::mt19937_64 random;
    std::mt19937_64 arrivals;
    event_loop loop;
    fake_fleet fleet;
    std::vector<engine_state> engines;
    std::vector<caller_stream> all;
    retry_budget budget;
    resume_pacer pacer;
    crash_suspicion suspicion;
    bool arriving = true;
    int waiting_resumes = 0;
    int crashed_by_request = 0;
};

} // namespace fireflysail::simulation
