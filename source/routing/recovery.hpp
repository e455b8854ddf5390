#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"
#include "routing/idle_connection_policy.hpp"
#include "routing/outcome.hpp"
#include "routing/resume_pacer.hpp"
#include "routing/retry_budget.hpp"

#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace fireflysail
{

/// How an attempt ended without a complete response.
enum class failure_kind
{
    /// No connection; no byte was sent.
    connect_failed,
    connection_reset,
    /// No progress within the timeout of progress_monitor.
    connection_silent,
    /// A stage of the pipeline died; the others still hold their KV cache.
    stage_died,
    /// A link between stages became too slow.
    link_degraded,
    /// The backend server reported that it ran nothing, for lack of capacity.
    overloaded,
    /// The backend server reported that the work failed; a retry would fail
    /// too.
    backend_error,
};

struct attempt_failure
{
    failure_kind kind = failure_kind::connection_reset;
    /// The backend server at fault; empty when unknown. In that case all stages
    /// are replaced, unless some are known to be unhealthy.
    server_id server;
    /// False only when certainly no byte of the work reached a backend server.
    bool byte_may_have_arrived = true;
};

/// One stage of the failed attempt.
struct attempt_stage
{
    server_id server;
    layer_range layers;
    bool healthy = true;
};

/// State on which the choice of the next step depends.
struct recovery_view
{
    /// Stages of the failed attempt; empty for a non-streaming call.
    std::vector<attempt_stage> stages;
    /// Whether other backend servers can replace the lost stages.
    bool replacement_exists = true;
    /// Expected time to import exported KV cache, if there is any.
    std::optional<duration> expected_import;
    /// Expected time to prefill the prompt and the delivered tokens.
    duration expected_prefill{};
};

enum class kv_source
{
    import_exported,
    prefill_again,
};

/// Open a new connection to the same backend server, or through the same
/// stages, and continue there.
struct reconnect_same_server
{
    /// Empty when the failure named none.
    server_id server;
    token_index resume_from;
};

/// Replace the lost stages and continue; send a non-streaming call to another
/// backend server.
struct resume_elsewhere
{
    std::vector<attempt_stage> kept;
    std::vector<attempt_stage> lost;
    kv_source source = kv_source::prefill_again;
    token_index resume_from;
    /// Backend servers that failed this request.
    std::vector<server_id> avoid;
};

/// Call next_step() again with the same failure at this time.
struct wait_until
{
    time_point when;
};

struct give_up
{
    outcome how;
};

using recovery_step =
    std::variant<reconnect_same_server, resume_elsewhere, wait_until, give_up>;

/// Shared by all requests of one instance.
struct recovery_shared
{
    retry_budget& budget;
    resume_pacer& pacer;
    std::mt19937_64& random;
};

/// Chooses the next step after a failed attempt of one request. A stream that
/// resumes elsewhere waits for its time slot of the pacer. An attempt that
/// follows one without progress, and each retry of a non-streaming call, is
/// taken from the retry budget.
class request_recovery
{
public:
    struct options
    {
        /// Consecutive attempts without progress before giving up.
        int max_attempts_without_progress = 4;
        /// Maximum wait for a replacement; the deadline also applies.
        duration max_replacement_wait = std::chrono::seconds{30};
        duration initial_backoff = std::chrono::milliseconds{50};
        duration max_backoff = std::chrono::seconds{1};
    };

    request_recovery(
        const options& chosen, work_kind work, time_point deadline);

    /// Called when every token before `next` has been sent to the caller.
    void on_delivered(token_index next);

    recovery_step next_step(
        const attempt_failure& failure,
        const recovery_view& view,
        recovery_shared shared,
        time_point now);

    token_index resume_from() const;

    /// Number of attempts on other pipelines since the last progress, for
    /// progress_monitor.
    int attempts_without_progress() const;

private:
    void count(const attempt_failure& failure);
    std::optional<outcome>
    final_outcome(const attempt_failure& failure, time_point now) const;
    bool should_reconnect(
        const attempt_failure& failure, const recovery_view& view) const;
    recovery_step reconnect(
        const attempt_failure& failure, recovery_shared shared, time_point now);
    recovery_step wait_for_replacement(recovery_shared shared, time_point now);
    std::optional<recovery_step> acquire_attempt(
        recovery_shared shared, const recovery_view& view, time_point now);
    recovery_step
    resume(const attempt_failure& failure, const recovery_view& view);
    void avoid_server(const server_id& server);
    outcome not_completed(failed_reason ran, did_not_run_reason did_not) const;

    options chosen;
    work_kind work;
    time_point deadline;
    token_index next_token;
    bool progressed;
    bool may_have_run = false;
    bool counted = false;
    bool reconnected = false;
    int failures_without_progress = 0;
    int attempts_since_progress = 0;
    int backoffs = 0;
    std::optional<time_point> reserved_time;
    bool budget_taken = false;
    std::optional<time_point> waiting_since;
    std::vector<server_id> avoid;
};

} // namespace fireflysail
