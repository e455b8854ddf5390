#include "serving/completion_job.hpp"

#include "common/invariant.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds wait_slice{50};
constexpr std::size_t prefix_bytes = 256;

request_recovery::options recovery_options(std::uint32_t max_attempts)
{
    request_recovery::options options;
    options.max_attempts_without_progress = static_cast<int>(max_attempts);
    return options;
}

progress_monitor::options silence_options(const completion_service::parts& used)
{
    progress_monitor::options options;
    options.margin = used.min_silence;
    options.max_timeout = used.max_silence;
    return options;
}

} // namespace

completion_job::completion_job(
    completion_service::parts& used,
    completion_request wanted,
    std::unique_ptr<admission_gate::slot> given,
    duration queue_wait)
    : used{used}
    , request{std::move(wanted)}
    , slot{std::move(given)}
    , print{fingerprint_of(this->request)}
    , crash_run{used.crashes, this->print}
    , recovery{
          recovery_options(used.max_attempts),
          work_kind::stream,
          this->request.deadline}
    , queue_wait{queue_wait}
    , last_token{used.time.now()}
{
}

completion_report completion_job::run(completion_sink& sink)
{
    std::optional<outcome> how;
    while (!how)
    {
        how = this->step(sink);
    }
    this->report.how = *how;
    this->report.delivered = token_count{this->delivered.size()};
    if (std::holds_alternative<completed>(*how))
    {
        this->slot->finish();
        this->crash_run.on_completed();
        this->used.recoveries.credit();
    }
    return this->report;
}

std::optional<outcome> completion_job::step(completion_sink& sink)
{
    if (this->used.time.now() >= this->request.deadline)
    {
        return failed{failed_reason::deadline};
    }
    if (!this->routed && !this->find_route())
    {
        this->failure = {failure_kind::connect_failed, {}, false};
        return this->recover(sink);
    }
    switch (this->crash_run.begin_attempt(this->servers()))
    {
    case attempt_start::go:
        break;
    case attempt_start::wait:
        this->routed.reset();
        return this->wait(this->used.time.now() + wait_slice, sink);
    case attempt_start::quarantined:
        this->used.metrics.count(request_event::quarantine);
        return failed{failed_reason::crashes_backend_servers};
    }
    return this->after_attempt(this->attempt(sink), sink);
}

bool completion_job::find_route()
{
    route_request wanted;
    wanted.model = this->request.model;
    wanted.version = this->request.version;
    wanted.adapter = this->request.adapter;
    wanted.prompt_tokens = expected_prompt_tokens(this->request.prompt);
    wanted.expected_output_tokens =
        static_cast<std::uint32_t>(this->request.max_tokens.value());
    wanted.prefix = stable_hash(
        std::string_view{this->request.prompt}.substr(0, prefix_bytes));
    wanted.excluded = this->avoid;
    if (this->previous)
    {
        const auto lost = std::exchange(this->previous, std::nullopt);
        this->routed = this->used.router.replace(*lost, this->avoid, wanted);
        if (this->routed)
        {
            return true;
        }
    }
    auto choice = this->used.router.choose(wanted);
    if (const auto* none = std::get_if<no_route>(&choice))
    {
        if (*none == no_route::all_excluded)
        {
            // Servers that failed this request are better than none at all.
            this->avoid.clear();
        }
        return false;
    }
    this->routed = std::get<routed_pipeline>(std::move(choice));
    this->used.router.on_prefix(wanted.prefix, this->routed->route);
    return true;
}

std::vector<server_id> completion_job::servers() const
{
    std::vector<server_id> all;
    std::ranges::transform(
        this->routed->stages, std::back_inserter(all), &stage_address::server);
    return all;
}

generate_request completion_job::describe_attempt()
{
    generate_request message;
    message.request = this->request.id;
    message.attempt = this->used.ids.next_attempt();
    message.model = this->routed->route.model;
    message.version = this->routed->route.version;
    if (!this->request.adapter.empty())
    {
        message.adapter = this->request.adapter;
    }
    message.prompt = this->request.prompt;
    message.max_tokens = this->request.max_tokens;
    message.priority = static_cast<std::uint32_t>(this->request.priority);
    message.from =
        token_index{static_cast<std::uint32_t>(this->delivered.size())};
    message.delivered = this->delivered;
    message.stages = this->routed->stages;
    return message;
}

completion_job::attempt_result completion_job::attempt(completion_sink& sink)
{
    const auto message = this->describe_attempt();
    answer_checker checker{message};
    this->attempt_began = this->used.time.now();
    this->ended = false;
    this->violated = false;
    this->stage_error.reset();
    this->stopped = attempt_result::failed;
    ++this->report.attempts;

    const pipeline_router::usage usage{this->used.router, this->routed->route};
    progress_monitor progress{
        silence_options(this->used),
        this->routed->expected.first_token(),
        this->routed->expected.each_token,
        this->attempt_began,
        this->recovery.attempts_without_progress()};
    const auto end = this->used.engines.generate(
        message,
        progress,
        [&](engine_event&& event)
        {
            return this->take(std::move(event), checker, sink);
        });
    if (this->ended)
    {
        return attempt_result::whole;
    }
    if (end == stream_end::cancelled && !this->violated)
    {
        return this->stopped;
    }
    this->failure = this->explain(end);
    return attempt_result::failed;
}

bool completion_job::take(
    engine_event&& event, answer_checker& checker, completion_sink& sink)
{
    if (const auto* token = std::get_if<token_event>(&event))
    {
        return this->take_token(*token, checker, sink);
    }
    if (const auto* end = std::get_if<end_event>(&event))
    {
        if (!checker.is_own(end->request, end->attempt))
        {
            ++this->report.dropped_events;
            return true;
        }
        // The engine's count proves that no token at the end was lost.
        this->violated = end->tokens.value() != this->delivered.size();
        this->ended = !this->violated;
        this->report.reason = end->reason;
        return !this->violated;
    }
    const auto& error = std::get<stage_error_event>(event);
    if (checker.is_own(error.request, error.attempt))
    {
        this->stage_error = error;
    }
    return true;
}

bool completion_job::take_token(
    const token_event& token, answer_checker& checker, completion_sink& sink)
{
    switch (checker.check(token))
    {
    case event_verdict::foreign:
    case event_verdict::repeated:
        ++this->report.dropped_events;
        this->used.metrics.count(request_event::dropped_late_event);
        return true;
    case event_verdict::gap:
    case event_verdict::wrong_layers:
        this->violated = true;
        this->used.metrics.count(request_event::rejected_token);
        return false;
    case event_verdict::accepted:
        break;
    }
    ensure(
        token.index.value() == this->delivered.size(),
        "tokens reach the caller once each and in order");
    const auto now = this->used.time.now();
    if (this->delivered.empty())
    {
        this->used.metrics.observe(
            this->request.workspace,
            this->request.priority,
            request_time::first_token,
            now - this->last_token + this->queue_wait);
    }
    else
    {
        this->used.metrics.observe(
            this->request.workspace,
            this->request.priority,
            request_time::between_tokens,
            now - this->last_token);
        this->used.router.on_token(this->routed->route, now - this->last_token);
    }
    this->last_token = now;
    this->delivered.push_back(token.text);
    this->crash_run.on_delivered(checker.next());
    this->recovery.on_delivered(checker.next());
    if (!sink.on_token(token.index, token.text))
    {
        this->stopped = attempt_result::caller_gone;
        return false;
    }
    if (now >= this->request.deadline)
    {
        this->stopped = attempt_result::past_deadline;
        return false;
    }
    if (this->slot->preempt_requested())
    {
        this->stopped = attempt_result::preempted;
        return false;
    }
    return true;
}

std::optional<outcome>
completion_job::after_attempt(attempt_result result, completion_sink& sink)
{
    switch (result)
    {
    case attempt_result::whole:
        return completed{};
    case attempt_result::caller_gone:
        this->crash_run.end_attempt();
        return failed{failed_reason::cancelled};
    case attempt_result::past_deadline:
        this->crash_run.end_attempt();
        return failed{failed_reason::deadline};
    case attempt_result::preempted:
    {
        this->crash_run.end_attempt();
        this->used.metrics.count(request_event::preemption);
        const auto left =
            this->request.max_tokens.value() - this->delivered.size();
        const auto remaining =
            this->routed->expected.each_token * static_cast<int>(left);
        this->routed.reset();
        const bool admitted_again = this->slot->yield(
            remaining,
            [&sink]
            {
                return sink.present();
            });
        ++this->report.resumes;
        return admitted_again
                   ? std::nullopt
                   : std::optional<outcome>{failed{failed_reason::cancelled}};
    }
    case attempt_result::failed:
        break;
    }
    return this->recover(sink);
}

} // namespace fireflysail
