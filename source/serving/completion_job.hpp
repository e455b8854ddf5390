#pragma once

#include "backend/answer_checker.hpp"
#include "common/hash.hpp"
#include "routing/progress_monitor.hpp"
#include "serving/completion_service.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fireflysail
{

/// One admitted request, run on the thread of its caller.
class completion_job
{
public:
    completion_job(
        completion_service::parts& used,
        completion_request request,
        std::unique_ptr<admission_gate::slot> slot,
        duration queue_wait);

    /// Runs attempts until the answer is whole or cannot be had.
    completion_report run(completion_sink& sink);

private:
    enum class attempt_result
    {
        whole,
        preempted,
        caller_gone,
        past_deadline,
        failed,
    };

    std::optional<outcome> step(completion_sink& sink);
    std::optional<outcome>
    follow(const recovery_step& next, completion_sink& sink);
    std::optional<outcome> recover(completion_sink& sink);
    std::optional<outcome> wait(time_point until, completion_sink& sink);
    std::optional<outcome>
    after_attempt(attempt_result result, completion_sink& sink);
    bool find_route();
    std::vector<server_id> servers() const;
    attempt_result attempt(completion_sink& sink);
    bool
    take(engine_event&& event, answer_checker& checker, completion_sink& sink);
    bool take_token(
        const token_event& token,
        answer_checker& checker,
        completion_sink& sink);
    generate_request describe_attempt();
    attempt_failure explain(stream_end end);
    server_id find_silent_stage();
    recovery_view view() const;

    completion_service::parts& used;
    completion_request request;
    std::unique_ptr<admission_gate::slot> slot;
    fingerprint print;
    crash_watch::run crash_run;
    request_recovery recovery;
    completion_report report;
    duration queue_wait;

    std::optional<routed_pipeline> routed;
    /// Pipeline whose healthy stages, with their KV cache, are to be kept.
    std::optional<pipeline> previous;
    std::vector<server_id> avoid;
    std::vector<std::string> delivered;
    attempt_failure failure;
    attempt_result stopped = attempt_result::failed;
    std::optional<stage_error_event> stage_error;
    bool ended = false;
    bool violated = false;
    time_point attempt_began;
    time_point last_token;
};

} // namespace fireflysail
