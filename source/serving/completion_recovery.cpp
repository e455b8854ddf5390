#include "serving/completion_job.hpp"

#include "common/log.hpp"

#include <algorithm>
#include <thread>
#include <utility>

// What follows an attempt that failed.

namespace fireflysail
{

namespace
{

constexpr std::chrono::milliseconds wait_slice{50};

} // namespace

attempt_failure completion_job::explain(stream_end end)
{
    const auto& first = this->routed->stages.front().server;
    if (this->stage_error)
    {
        const auto& server = this->stage_error->server;
        return {
            failure_kind::stage_died, server.empty() ? first : server, true};
    }
    switch (end)
    {
    case stream_end::not_connected:
        return {failure_kind::connect_failed, first, false};
    case stream_end::refused:
        return {failure_kind::overloaded, first, false};
    case stream_end::silent:
        return {
            failure_kind::connection_silent, this->find_silent_stage(), true};
    case stream_end::closed:
    case stream_end::cancelled:
    case stream_end::broken:
    case stream_end::malformed:
        break;
    }
    return {failure_kind::connection_reset, first, true};
}

server_id completion_job::find_silent_stage()
{
    // The stream comes through the first stage, but any of them may be the one
    // that hangs: the one that does not answer a new connection is. When all
    // answer, only connections were lost.
    const auto stalled = this->used.router.stalled_stage(
        this->routed->route, std::max(this->last_token, this->attempt_began));
    if (stalled)
    {
        return *stalled;
    }
    const auto& stages = this->routed->stages;
    const auto silent = std::ranges::find_if(
        stages,
        [this](const stage_address& stage)
        {
            return !this->used.engines.status(stage.address);
        });
    return silent == stages.end() ? server_id{} : silent->server;
}

recovery_view completion_job::view() const
{
    recovery_view seen;
    if (!this->routed)
    {
        seen.replacement_exists = false;
        return seen;
    }
    std::ranges::transform(
        this->routed->stages,
        std::back_inserter(seen.stages),
        [this](const stage_address& stage)
        {
            return attempt_stage{
                stage.server,
                stage.layers,
                stage.server != this->failure.server};
        });
    const auto tokens = expected_prompt_tokens(this->request.prompt) +
                        static_cast<std::uint32_t>(this->delivered.size());
    seen.expected_prefill = this->routed->route.prefill_time_per_token * tokens;
    return seen;
}

std::optional<outcome> completion_job::recover(completion_sink& sink)
{
    if (this->routed)
    {
        log::info(
            log::channel::routing,
            "request {} lost {} after {} tokens, attempt {}",
            this->request.id.str(),
            this->failure.server.str(),
            this->delivered.size(),
            this->report.attempts);
        this->used.router.on_failure(this->routed->route, this->failure.server);
        const bool crashed =
            this->failure.kind == failure_kind::connection_reset ||
            this->failure.kind == failure_kind::stage_died;
        if (crashed && this->crash_run.on_lost(this->failure.server) ==
                           crash_verdict::quarantined)
        {
            this->used.metrics.count(request_event::quarantine);
            return failed{failed_reason::crashes_backend_servers};
        }
        this->crash_run.end_attempt();
    }
    const auto next = this->used.recoveries.next_step(
        this->recovery, this->failure, this->view());
    return this->follow(next, sink);
}

std::optional<outcome>
completion_job::follow(const recovery_step& next, completion_sink& sink)
{
    if (const auto* end = std::get_if<give_up>(&next))
    {
        return end->how;
    }
    if (const auto* pause = std::get_if<wait_until>(&next))
    {
        if (auto ended = this->wait(pause->when, sink))
        {
            return ended;
        }
        if (!this->routed)
        {
            return std::nullopt;
        }
        const auto after = this->used.recoveries.next_step(
            this->recovery, this->failure, this->view());
        return this->follow(after, sink);
    }
    this->used.metrics.count(request_event::resume);
    ++this->report.resumes;
    if (const auto* elsewhere = std::get_if<resume_elsewhere>(&next))
    {
        this->avoid = elsewhere->avoid;
        if (!elsewhere->kept.empty() && this->routed)
        {
            this->previous = std::move(this->routed->route);
        }
        this->routed.reset();
    }
    return std::nullopt;
}

std::optional<outcome>
completion_job::wait(time_point until, completion_sink& sink)
{
    const auto end = std::min(until, this->request.deadline);
    while (this->used.time.now() < end)
    {
        if (!sink.present())
        {
            return failed{failed_reason::cancelled};
        }
        const auto left = end - this->used.time.now();
        std::this_thread::sleep_for(std::min<duration>(left, wait_slice));
    }
    return std::nullopt;
}

} // namespace fireflysail
