#include "relay/stream_run.hpp"

#include "common/log.hpp"
#include "relay/peer_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>
#include <variant>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Attempts in a row that brought no event, before the stream is given up.
constexpr int most_fruitless = 4;

/// Crashes of its engines after which a request is not sent once more.
constexpr int max_crashes = 2;

/// Pause before asking again while no pipeline is there.
constexpr duration wait_for_pipeline = 50ms;

/// Output that is expected of a request that says nothing of it.
constexpr std::uint32_t default_output_tokens = 150;

route_request describe(const stream_state& state)
{
    const request_facts& facts = state.served.facts;
    route_request wanted;
    wanted.model = model_id{state.served.service.str()};
    wanted.prompt_tokens = facts.prompt_tokens;
    const auto expected =
        facts.expected_output_tokens.value_or(default_output_tokens);
    wanted.expected_output_tokens =
        facts.most_output_tokens > 0
            ? std::min(expected, facts.most_output_tokens)
            : expected;
    wanted.prefix = facts.shared_prefix;
    wanted.prefix_tokens = facts.shared_prefix_tokens;
    return wanted;
}

/// Whether a stream that found no pipeline waits on. One that its caller has
/// seen begin waits as long as the caller does.
bool waits_for_pipeline(const stream_state& state)
{
    const exchange& served = state.served;
    relay_context& relay = served.relay;
    const time_point now = relay.time.now();
    const model_id model{served.service.str()};
    if (state.excluded.empty() && state.ran_at.empty())
    {
        relay.outages.on_pipeline_missing(model, now);
    }
    return state.header_sent ||
           relay.outages.should_wait(model, now - served.received_at, now);
}

/// Whether the stream may go on, or begin, at another engine.
bool may_go_on(const stream_state& state, stream_end end)
{
    const exchange& served = state.served;
    if (served.is_over() || state.fruitless > most_fruitless)
    {
        return false;
    }
    const bool may_crash_again =
        state.crashes >= max_crashes ||
        (state.crashes > 0 &&
         served.relay.crashes.status_of(served.content).level !=
             suspicion_level::normal);
    if (may_crash_again)
    {
        return false;
    }
    const bool nothing_ran =
        end == stream_end::refused || end == stream_end::unsent;
    return nothing_ran || served.matched->resumable;
}

/// One line for each stream, however long it waits.
void log_spent_budget(stream_state& state)
{
    if (std::exchange(state.is_budget_logged, true))
    {
        return;
    }
    log::event(
        log::level::warning,
        log::channel::routing,
        "retry_budget_spent",
        {{"request", state.served.facts.attempt.str()},
         {"attempts", state.served.attempts}});
}

asio::awaitable<void> finish(stream_state& state)
{
    caller_connection& caller = state.served.caller;
    io_error failed;
    if (state.header_sent)
    {
        failed = co_await caller.write_last_chunk();
    }
    else
    {
        failed = co_await caller.write_empty(*state.header);
    }
    state.served.must_close = state.served.must_close || failed;
}

asio::awaitable<void> end_unfinished(stream_state& state)
{
    exchange& served = state.served;
    if (state.header_sent)
    {
        // Without its last chunk the answer does not look complete.
        served.must_close = true;
        co_return;
    }
    const bool any_ran = !state.ran_at.empty();
    const bool may_run_elsewhere =
        !any_ran || (served.matched->resumable &&
                     served.attempts < served.matched->most_attempts);
    if (may_run_elsewhere && !state.quarantined && !state.stopping &&
        !state.refused)
    {
        const bool is_served = co_await pass_on_if_cut_off(served);
        if (is_served)
        {
            co_return;
        }
    }
    if (!any_ran && state.refused)
    {
        advise_after_backoff(served, served.relay.pipelines.first_stages());
    }
    if (served.expired)
    {
        co_await answer_ourselves(
            served,
            any_ran ? own_answer::timed_out : own_answer::timed_out_unsent);
        co_return;
    }
    co_await answer_ourselves(
        served,
        any_ran             ? own_answer::unknown_outcome
        : state.quarantined ? own_answer::quarantined
        : state.stopping    ? own_answer::stopping
        : state.refused     ? own_answer::overloaded
                            : own_answer::no_backend_server);
}

/// Whether the service has room for a new stream of its rank and workspace;
/// sets when to come back if it has not.
bool is_admitted(exchange& served)
{
    relay_context& relay = served.relay;
    const auto load = relay.service_loads.find(served.service);
    const auto decision = relay.admission.decide(
        served.service,
        {served.urgency(),
         served.workspace,
         served.time_left(),
         served.facts.last_event.has_value()},
        load == relay.service_loads.end() ? nullptr : &load->second,
        relay.time.now(),
        relay.random);
    const auto* refusal = std::get_if<refused>(&decision);
    if (refusal != nullptr)
    {
        served.come_back_after = refusal->retry_after;
    }
    return refusal == nullptr;
}

/// Weight of a stream in the mean of their durations.
constexpr double stream_time_weight = 0.1;

void note_stream_time(exchange& served)
{
    relay_context& relay = served.relay;
    const duration taken = relay.time.now() - served.received_at;
    duration& mean = relay.mean_stream_time;
    mean = mean == duration::zero()
               ? taken
               : mean + std::chrono::duration_cast<duration>(
                            (taken - mean) * stream_time_weight);
}

/// Whether there is a pipeline, but only of engines whose limit leaves no room.
bool is_limited(const stream_state& state)
{
    return state.served.relay.rate_limits.time_until_room() &&
           std::holds_alternative<routed_pipeline>(
               choose_pipeline(state, held_back::none));
}

/// Whether there is a pipeline, but only of engines that back off.
bool is_backed_off(const stream_state& state)
{
    return !state.served.relay.backoff.closed().empty() &&
           std::holds_alternative<routed_pipeline>(
               choose_pipeline(state, held_back::limited));
}

/// Whether the content was quarantined while the request waited, or since it
/// last ran. The one that tries whether a quarantine is still due runs once.
bool is_quarantined(stream_state& state)
{
    exchange& served = state.served;
    const crash_status status = served.relay.crashes.status_of(served.content);
    if (status.level != suspicion_level::quarantined ||
        (served.is_trial && served.attempts == 0) || served.events > 0)
    {
        return false;
    }
    state.quarantined = true;
    served.come_back_after = status.retry_after;
    return true;
}

/// Whether the instance stops too soon for a stream that has not run yet. One
/// that has begun goes on.
bool is_stopping(stream_state& state)
{
    const exchange& served = state.served;
    state.stopping =
        state.ran_at.empty() &&
        !served.relay.stop.may_send(
            work_of(*served.matched), served.deadline, served.relay.time.now());
    return state.stopping;
}

} // namespace

bool may_use_another_engine(const stream_state& state)
{
    const auto still_there = std::ranges::count_if(
        state.ran_at,
        [&state](const server_id& server)
        {
            return !state.served.relay.inquiry.is_gone(server);
        });
    return still_there <
           static_cast<std::ptrdiff_t>(state.served.matched->most_attempts);
}

route_outcome choose_pipeline(const stream_state& state, held_back left_out)
{
    relay_context& relay = state.served.relay;
    route_request wanted = describe(state);
    std::vector<server_id> excluded = relay.inquiry.avoided();
    excluded.insert(
        excluded.end(), state.excluded.begin(), state.excluded.end());
    exclude(relay, left_out, excluded);
    pipeline_router& pipelines = relay.pipelines;
    if (!may_use_another_engine(state))
    {
        std::ranges::copy_if(
            pipelines.first_stages(),
            std::back_inserter(excluded),
            [&state](const server_id& server)
            {
                return std::ranges::find(state.ran_at, server) ==
                       state.ran_at.end();
            });
    }
    const std::size_t usable_count = excluded.size();
    std::ranges::copy(
        relay.congestion.congested(relay.time.now()),
        std::back_inserter(excluded));
    std::ranges::copy(
        relay.backoff.returning(relay.random), std::back_inserter(excluded));
    wanted.excluded = excluded;
    auto choice = pipelines.choose(wanted);
    if (std::holds_alternative<no_route>(choice) &&
        excluded.size() > usable_count)
    {
        // A congested pipeline is better than none, and so is one of engines
        // that have just stopped to back off.
        wanted.excluded = std::span{excluded}.first(usable_count);
        choice = pipelines.choose(wanted);
    }
    return choice;
}

asio::awaitable<void> serve_stream(exchange& served)
{
    relay_context& relay = served.relay;
    if (!is_admitted(served))
    {
        co_await answer_ourselves(served, own_answer::overloaded);
        co_return;
    }
    stream_state state{served};
    retry_budget& budget = budget_of(relay, served.service);
    budget.credit(relay.time.now());
    asio::steady_timer pause{relay.executor};
    while (!served.is_over() && !is_quarantined(state) && !is_stopping(state) &&
           (state.header_sent || !should_pass_on(served)))
    {
        const auto choice = choose_pipeline(state);
        const auto* routed = std::get_if<routed_pipeline>(&choice);
        if (routed == nullptr && is_backed_off(state))
        {
            if (!state.header_sent)
            {
                state.refused = true;
                break;
            }
            served.held += wait_for_pipeline;
            co_await pause_for(pause, wait_for_pipeline);
            continue;
        }
        if (routed == nullptr && is_limited(state))
        {
            const auto [wait] =
                wait_for_limit(served, state.limit_waited, state.header_sent);
            if (!wait)
            {
                state.refused = true;
                break;
            }
            state.limit_waited += *wait;
            served.held += *wait;
            co_await pause_for(pause, *wait);
            continue;
        }
        if (routed == nullptr)
        {
            if (!state.header_sent && should_hand_back(served))
            {
                break;
            }
            if (!waits_for_pipeline(state))
            {
                served.advise_return();
                break;
            }
            state.excluded.clear();
            served.held += wait_for_pipeline;
            co_await pause_for(pause, wait_for_pipeline);
            continue;
        }
        relay.outages.on_pipeline_found(model_id{served.service.str()});
        const bool has_room =
            co_await relay.rate_limits.acquire(routed->stages.front().server);
        if (!has_room || served.is_over() ||
            !may_be_sent_to(relay, routed->stages.front().server))
        {
            continue;
        }
        const bool is_paid = served.attempts == 0 || state.repeat_is_paid ||
                             budget.try_take(relay.time.now());
        state.repeat_is_paid = false;
        if (!is_paid)
        {
            log_spent_budget(state);
            if (!state.header_sent)
            {
                break;
            }
            // An answer that has begun is finished late rather than cut.
            served.held += wait_for_pipeline;
            co_await pause_for(pause, wait_for_pipeline);
            continue;
        }
        ++state.fruitless;
        if (served.attempts > 0)
        {
            relay.metrics.count(request_event::resume);
        }
        const auto end = co_await run_stream(state, *routed);
        if (end == stream_end::whole)
        {
            note_stream_time(served);
            co_await finish(state);
            co_return;
        }
        if (end == stream_end::passed_on || end == stream_end::caller_lost)
        {
            served.must_close =
                served.must_close || end == stream_end::caller_lost;
            co_return;
        }
        state.refused = state.refused || end == stream_end::refused;
        const bool nothing_ran =
            end == stream_end::refused || end == stream_end::unsent;
        if (nothing_ran && state.header_sent)
        {
            // Engines without room say so at once; it may be there soon.
            --state.fruitless;
        }
        if (!may_go_on(state, end))
        {
            break;
        }
    }
    co_await end_unfinished(state);
}

} // namespace fireflysail
