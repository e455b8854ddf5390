#include "routing/recovery.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <utility>

namespace fireflysail
{

namespace
{

bool is_lost(const attempt_stage& stage, const attempt_failure& failure)
{
    return !stage.healthy || stage.server == failure.server;
}

/// Splits the stages into lost and kept ones. All are lost when the fault is
/// unknown.
void split_stages(
    const std::vector<attempt_stage>& stages,
    const attempt_failure& failure,
    resume_elsewhere& step)
{
    std::ranges::partition_copy(
        stages,
        std::back_inserter(step.lost),
        std::back_inserter(step.kept),
        [&](const attempt_stage& stage)
        {
            return is_lost(stage, failure);
        });
    const bool fault_unknown = step.lost.empty();
    if (fault_unknown)
    {
        std::swap(step.lost, step.kept);
    }
}

bool certainly_not_run(failure_kind kind)
{
    return kind == failure_kind::connect_failed ||
           kind == failure_kind::overloaded;
}

kv_source sooner_source(const recovery_view& view)
{
    const bool import =
        view.expected_import && *view.expected_import < view.expected_prefill;
    return import ? kv_source::import_exported : kv_source::prefill_again;
}

} // namespace

request_recovery::request_recovery(
    const options& chosen, work_kind work, time_point deadline)
    : chosen{chosen}
    , work{work}
    , deadline{deadline}
    , progressed{work == work_kind::stream}
{
}

void request_recovery::on_delivered(token_index next)
{
    if (next <= this->next_token)
    {
        return;
    }
    this->next_token = next;
    this->progressed = true;
    this->may_have_run = true;
    this->reconnected = false;
    this->failures_without_progress = 0;
    this->attempts_since_progress = 0;
    this->backoffs = 0;
}

token_index request_recovery::resume_from() const
{
    return this->next_token;
}

int request_recovery::attempts_without_progress() const
{
    return this->attempts_since_progress;
}

recovery_step request_recovery::next_step(
    const attempt_failure& failure,
    const recovery_view& view,
    recovery_shared shared,
    time_point now)
{
    if (!this->counted)
    {
        this->count(failure);
    }
    if (const auto end = this->final_outcome(failure, now))
    {
        return give_up{*end};
    }
    if (this->should_reconnect(failure, view))
    {
        return this->reconnect(failure, shared, now);
    }
    if (!view.replacement_exists)
    {
        return this->wait_for_replacement(shared, now);
    }
    if (const auto other = this->acquire_attempt(shared, view, now))
    {
        return *other;
    }
    return this->resume(failure, view);
}

void request_recovery::count(const attempt_failure& failure)
{
    this->counted = true;
    this->budget_taken = false;
    this->reserved_time.reset();
    this->waiting_since.reset();
    this->failures_without_progress =
        this->progressed ? 0 : this->failures_without_progress + 1;
    this->may_have_run =
        this->may_have_run ||
        (failure.byte_may_have_arrived && !certainly_not_run(failure.kind));
}

/// The outcome if no further attempt is allowed, regardless of replacements.
std::optional<outcome> request_recovery::final_outcome(
    const attempt_failure& failure, time_point now) const
{
    if (this->work == work_kind::non_idempotent && this->may_have_run)
    {
        return failure.kind == failure_kind::backend_error
                   ? outcome{failed{failed_reason::backend_error}}
                   : outcome{outcome_unknown{}};
    }
    if (failure.kind == failure_kind::backend_error)
    {
        return failed{failed_reason::backend_error};
    }
    if (now >= this->deadline)
    {
        return this->not_completed(
            failed_reason::deadline, did_not_run_reason::deadline);
    }
    if (this->failures_without_progress >=
        this->chosen.max_attempts_without_progress)
    {
        return this->not_completed(
            failed_reason::retries_exhausted,
            did_not_run_reason::no_backend_server);
    }
    return std::nullopt;
}

outcome request_recovery::not_completed(
    failed_reason ran, did_not_run_reason did_not) const
{
    if (this->may_have_run)
    {
        return failed{ran};
    }
    return did_not_run{did_not, this->chosen.max_backoff};
}

/// A failed connection does not imply a failed backend server, which may still
/// hold the KV cache. One new connection is the cheapest test.
bool request_recovery::should_reconnect(
    const attempt_failure& failure, const recovery_view& view) const
{
    const bool connection_failed =
        failure.kind == failure_kind::connection_silent ||
        failure.kind == failure_kind::connection_reset;
    if (!connection_failed || this->reconnected)
    {
        return false;
    }
    return std::ranges::all_of(view.stages, &attempt_stage::healthy);
}

recovery_step request_recovery::reconnect(
    const attempt_failure& failure, recovery_shared shared, time_point now)
{
    if (!this->progressed && !shared.budget.try_take(now))
    {
        return give_up{this->not_completed(
            failed_reason::retries_exhausted, did_not_run_reason::overloaded)};
    }
    this->reconnected = true;
    this->counted = false;
    return reconnect_same_server{failure.server, this->next_token};
}

recovery_step
request_recovery::wait_for_replacement(recovery_shared shared, time_point now)
{
    if (!this->waiting_since)
    {
        this->waiting_since = now;
    }
    if (now - *this->waiting_since >= this->chosen.max_replacement_wait)
    {
        return give_up{this->not_completed(
            failed_reason::retries_exhausted,
            did_not_run_reason::no_backend_server)};
    }
    constexpr int max_doublings = 16;
    const duration full = std::min(
        this->chosen.initial_backoff *
            (1 << std::min(this->backoffs++, max_doublings)),
        this->chosen.max_backoff);
    std::uniform_int_distribution<duration::rep> spread{
        full.count() / 2, full.count()};
    const time_point when = now + duration{spread(shared.random)};
    return wait_until{std::min(when, this->deadline)};
}

/// Takes the next attempt from the retry budget and reserves its time slot.
/// Returns the step to take instead if the attempt must wait or is denied.
std::optional<recovery_step> request_recovery::acquire_attempt(
    recovery_shared shared, const recovery_view& view, time_point now)
{
    if (!this->budget_taken && !this->progressed &&
        !shared.budget.try_take(now))
    {
        return give_up{this->not_completed(
            failed_reason::retries_exhausted, did_not_run_reason::overloaded)};
    }
    this->budget_taken = true;
    if (view.stages.empty())
    {
        return std::nullopt;
    }
    if (!this->reserved_time)
    {
        this->reserved_time = shared.pacer.reserve(now, shared.random);
    }
    if (*this->reserved_time > now)
    {
        return wait_until{std::min(*this->reserved_time, this->deadline)};
    }
    return std::nullopt;
}

void request_recovery::avoid_server(const server_id& server)
{
    const bool known =
        std::ranges::find(this->avoid, server) != this->avoid.end();
    if (!server.empty() && !known)
    {
        this->avoid.push_back(server);
    }
}

recovery_step request_recovery::resume(
    const attempt_failure& failure, const recovery_view& view)
{
    resume_elsewhere step;
    split_stages(view.stages, failure, step);
    this->avoid_server(failure.server);
    for (const attempt_stage& stage : step.lost)
    {
        this->avoid_server(stage.server);
    }
    step.source = sooner_source(view);
    step.resume_from = this->next_token;
    step.avoid = this->avoid;
    this->progressed = false;
    this->reconnected = false;
    ++this->attempts_since_progress;
    this->counted = false;
    return step;
}

} // namespace fireflysail
