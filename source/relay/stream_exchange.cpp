#include "relay/exchange.hpp"

#include "backend/event_stream.hpp"
#include "common/log.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Engines cut what depends on a dead one after the stall that the platform
/// states; silence longer than that by this much is a lost connection.
constexpr duration silence_margin = 300ms;

/// Attempts in a row that brought no event, before the stream is given up.
constexpr int most_fruitless = 4;

/// Pause before asking again while no pipeline is there.
constexpr duration wait_for_pipeline = 50ms;

/// A request that has not begun waits this long for a pipeline: lost layers
/// are loaded elsewhere in one to two seconds.
constexpr duration longest_hold = 1500ms;

/// Output that is expected of a request that says nothing of it.
constexpr std::uint32_t default_output_tokens = 150;

enum class attempt_end
{
    whole,
    /// The engine answered with another status than success; passed on.
    passed_on,
    /// An engine states that nothing ran.
    refused,
    /// No connection; nothing was sent.
    unsent,
    /// Broke off or fell silent.
    broken,
    /// The caller left or could not be written to.
    caller_lost,
};

struct stream_state
{
    explicit stream_state(exchange& served)
        : served{served}
        , last_event{served.facts.last_event}
    {
    }

    exchange& served;
    /// Header of the first engine that answered, kept for the whole answer.
    std::optional<http_response> header;
    bool header_sent = false;
    std::optional<std::uint64_t> last_event;
    int fruitless = 0;
    std::vector<server_id> excluded;
    /// First engines of the pipelines on which it ran.
    std::vector<server_id> ran_at;
    bool any_ran = false;
    bool refused = false;
    /// The current run was ended because its pipeline fell silent.
    bool silenced = false;
    /// The budget was charged for the next attempt already.
    bool repeat_is_paid = false;
    stall_monitor::run* run = nullptr;
    /// The header of the current run's answer arrived.
    bool answered = false;
    /// Its last run ended with the crash of its engine.
    bool suspected = false;
};

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

/// The operators bound the engines that one attempt of a caller runs on; those
/// that are gone do not count.
bool may_use_another_engine(const stream_state& state)
{
    const auto still_there = std::ranges::count_if(
        state.ran_at,
        [&state](const server_id& server)
        {
            return !state.served.relay.inquiry.is_lost(server);
        });
    return still_there <
           static_cast<std::ptrdiff_t>(state.served.matched->most_attempts);
}

route_outcome choose(const stream_state& state)
{
    route_request wanted = describe(state);
    std::vector<server_id> excluded = state.served.relay.inquiry.avoided();
    excluded.insert(
        excluded.end(), state.excluded.begin(), state.excluded.end());
    pipeline_router& pipelines = state.served.relay.pipelines;
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
    wanted.excluded = excluded;
    return pipelines.choose(wanted);
}

/// Blames the engine that the answer names, or else the one that was asked.
void exclude_failed(
    stream_state& state,
    const routed_pipeline& routed,
    const answer_facts& facts)
{
    const auto named = std::ranges::find_if(
        routed.stages,
        [&facts](const stage_address& part)
        {
            return facts.failed_server && part.address == *facts.failed_server;
        });
    const auto& blamed =
        named == routed.stages.end() ? routed.stages.front() : *named;
    state.excluded.push_back(blamed.server);
    state.served.relay.inquiry.report(
        blamed.server, engine_fault::named_by_peer);
}

/// For the log and the metrics: several events that came together are one.
void note_events(exchange& served)
{
    const time_point now = served.relay.time.now();
    if (served.events > 0)
    {
        const duration gap = now - served.last_event_at;
        served.longest_gap = std::max(served.longest_gap, gap);
        served.relay.metrics.observe(
            served.workspace,
            request_class::standard,
            request_time::between_tokens,
            gap);
    }
    ++served.events;
    served.last_event_at = now;
}

/// Forwards the whole events received; false when the caller is lost.
asio::awaitable<bool>
forward(stream_state& state, event_stream& events, std::string& out)
{
    out.clear();
    while (const auto event = events.next_raw())
    {
        // A resumed run may begin with events that the caller has.
        const bool is_known =
            event->id && state.last_event && *event->id <= *state.last_event;
        if (is_known)
        {
            continue;
        }
        out.append(event->text);
        state.last_event = event->id ? event->id : state.last_event;
    }
    if (out.empty())
    {
        co_return true;
    }
    exchange& served = state.served;
    state.fruitless = 0;
    state.run->on_event();
    note_events(served);
    io_error failed;
    if (state.header_sent)
    {
        failed = co_await served.caller.write_chunk(out);
    }
    else
    {
        state.header_sent = true;
        served.first_event_after = served.relay.time.now() - served.received_at;
        failed = co_await served.caller.write_first_chunk(*state.header, out);
    }
    co_return !failed;
}

asio::awaitable<attempt_end>
relay_events(stream_state& state, backend_connection& connection)
{
    exchange& served = state.served;
    event_stream events;
    std::string out;
    std::array<char, 8192> part{};
    io_deadline silence{
        served.relay.executor,
        served.relay.time,
        [&connection]
        {
            connection.close();
        }};
    const duration longest_silence =
        served.relay.node.bounds.stage_stall + silence_margin;
    while (true)
    {
        silence.set(served.relay.time.now() + longest_silence);
        const auto read = co_await connection.read_body(part);
        silence.clear();
        const bool fits = events.append({part.data(), read.bytes});
        if (!fits || served.caller.has_left())
        {
            co_return served.caller.has_left() ? attempt_end::caller_lost
                                               : attempt_end::broken;
        }
        const bool is_forwarded = co_await forward(state, events, out);
        if (!is_forwarded)
        {
            co_return attempt_end::caller_lost;
        }
        if (read.error || (read.is_last && events.has_partial()))
        {
            co_return attempt_end::broken;
        }
        if (read.is_last)
        {
            co_return attempt_end::whole;
        }
    }
}

asio::awaitable<attempt_end>
pass_on(stream_state& state, backend_connection& connection)
{
    exchange& served = state.served;
    http_response answer;
    answer.base() = connection.header();
    std::array<char, 4096> part{};
    while (true)
    {
        const auto read = co_await connection.read_body(part);
        answer.body().append(part.data(), read.bytes);
        if (read.error)
        {
            co_return attempt_end::broken;
        }
        if (read.is_last)
        {
            break;
        }
    }
    remove_connection_fields(answer);
    answer.version(11);
    answer.keep_alive(!served.must_close && !served.relay.draining);
    answer.prepare_payload();
    served.last_status = answer.result_int();
    const io_error failed = co_await served.caller.write(answer);
    if (failed)
    {
        served.must_close = true;
    }
    co_return attempt_end::passed_on;
}

asio::awaitable<attempt_end> read_stream(
    stream_state& state,
    const routed_pipeline& routed,
    backend_connection& connection)
{
    exchange& served = state.served;
    io_error failed;
    {
        io_deadline silence{
            served.relay.executor,
            served.relay.time,
            [&connection]
            {
                connection.close();
            }};
        silence.set(
            served.relay.time.now() + served.relay.node.bounds.stage_stall +
            served.matched->latency_objective);
        failed = co_await connection.read_header();
    }
    if (failed)
    {
        state.any_ran = true;
        co_return attempt_end::broken;
    }
    state.answered = true;
    const auto& header = connection.header();
    const auto facts =
        served.relay.codec.read_answer(header.result_int(), header);
    served.last_status = header.result_int();
    if (facts.attempt != served.facts.attempt)
    {
        state.any_ran = true;
        co_return attempt_end::broken;
    }
    connection.idle_limit = facts.keep_alive;
    if (facts.not_run)
    {
        exclude_failed(state, routed, facts);
        co_return attempt_end::refused;
    }
    state.any_ran = true;
    const bool is_success = header.result() == http::status::ok;
    if (!facts.stamped)
    {
        co_return attempt_end::broken;
    }
    if (!is_success)
    {
        if (state.header_sent)
        {
            co_return attempt_end::broken;
        }
        co_return co_await pass_on(state, connection);
    }
    if (!state.header)
    {
        state.header.emplace();
        state.header->base() = header;
        remove_connection_fields(*state.header);
        state.header->erase(http::field::content_length);
        state.header->version(11);
        state.header->keep_alive(!served.must_close && !served.relay.draining);
    }
    co_return co_await relay_events(state, connection);
}

/// Keeps this and other requests off what broke the run.
void blame(stream_state& state, const routed_pipeline& routed)
{
    exchange& served = state.served;
    const server_id& first = routed.stages.front().server;
    log::event(
        log::level::warning,
        log::channel::routing,
        "run_broken",
        {{"request", served.facts.attempt.str()},
         {"server", first.str()},
         {"silent", state.silenced},
         {"last_event", state.last_event.value_or(0)},
         {"status", served.last_status},
         {"attempt", served.attempts}});
    state.excluded.push_back(first);
    if (state.silenced)
    {
        served.relay.inquiry.report_silence(first);
    }
    else
    {
        served.relay.inquiry.report(first, engine_fault::unreachable);
    }
}

/// Ends the run if it may go on elsewhere; else it waits for its engines.
bool leave_silent(stream_state& state, backend_connection& connection)
{
    exchange& served = state.served;
    relay_context& relay = served.relay;
    // The run in progress counts as well.
    const bool may_leave =
        state.ran_at.size() + 1 < served.matched->most_attempts;
    if (!served.matched->resumable || !may_leave ||
        !budget_of(relay, served.service).try_take(relay.time.now()))
    {
        return false;
    }
    state.silenced = true;
    state.repeat_is_paid = true;
    connection.close();
    return true;
}

asio::awaitable<attempt_end>
attempt_once(stream_state& state, const routed_pipeline& routed)
{
    exchange& served = state.served;
    relay_context& relay = served.relay;
    const stage_address& first = routed.stages.front();
    auto taken = relay.pool.take(first.address, work_kind::idempotent);
    const bool is_open = co_await ensure_open(served, taken);
    if (!is_open)
    {
        state.excluded.push_back(first.server);
        relay.inquiry.report(first.server, engine_fault::unreachable);
        co_return attempt_end::unsent;
    }
    dispatch_facts facts;
    facts.time_left = served.time_left();
    facts.server = first.server;
    facts.workspace = served.workspace;
    facts.stages = routed.stages;
    facts.last_event = state.last_event;
    ++served.attempts;
    served.last_server = first.server;
    const pipeline_router::usage usage{relay.pipelines, routed.route};
    served.current = taken.connection.get();
    state.silenced = false;
    state.answered = false;
    stall_monitor::run run{
        relay.stalls,
        routed.route.key,
        [&state, connection = taken.connection.get()]
        {
            return leave_silent(state, *connection);
        }};
    state.run = &run;
    taken.connection->start_request(make_dispatch(served, facts));
    const auto end = co_await read_stream(state, routed, *taken.connection);
    state.run = nullptr;
    served.current = nullptr;
    const bool may_have_run =
        end != attempt_end::refused && end != attempt_end::unsent;
    if (may_have_run &&
        std::ranges::find(state.ran_at, first.server) == state.ran_at.end())
    {
        state.ran_at.push_back(first.server);
    }
    if (end == attempt_end::broken && !served.is_over())
    {
        blame(state, routed);
        const bool no_answer = !state.silenced && !state.answered;
        if (no_answer)
        {
            state.suspected =
                co_await check_crash(served, first.server, first.address);
        }
    }
    relay.pool.give_back(std::move(taken.connection));
    co_return end;
}

/// Whether the stream may go on, or begin, at another engine.
bool may_go_on(const stream_state& state, attempt_end end)
{
    const exchange& served = state.served;
    if (served.is_over() || state.suspected || state.fruitless > most_fruitless)
    {
        return false;
    }
    const bool nothing_ran =
        end == attempt_end::refused || end == attempt_end::unsent;
    return nothing_ran || served.matched->resumable;
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
    if (served.expired)
    {
        co_await answer_ourselves(
            served,
            state.any_ran ? own_answer::timed_out
                          : own_answer::timed_out_unsent);
        co_return;
    }
    co_await answer_ourselves(
        served,
        state.any_ran   ? own_answer::unknown_outcome
        : state.refused ? own_answer::overloaded
                        : own_answer::no_backend_server);
}

} // namespace

asio::awaitable<void> serve_stream(exchange& served)
{
    relay_context& relay = served.relay;
    stream_state state{served};
    retry_budget& budget = budget_of(relay, served.service);
    budget.credit(relay.time.now());
    asio::steady_timer pause{relay.executor};
    while (!served.is_over())
    {
        const auto choice = choose(state);
        const auto* routed = std::get_if<routed_pipeline>(&choice);
        if (routed == nullptr)
        {
            const duration waited = relay.time.now() - served.received_at;
            if (!state.header_sent && waited >= longest_hold)
            {
                break;
            }
            state.excluded.clear();
            served.held += wait_for_pipeline;
            co_await pause_for(pause, wait_for_pipeline);
            continue;
        }
        const bool is_paid = served.attempts == 0 || state.repeat_is_paid ||
                             budget.try_take(relay.time.now());
        state.repeat_is_paid = false;
        if (!is_paid)
        {
            log::event(
                log::level::warning,
                log::channel::routing,
                "retry_budget_spent",
                {{"request", served.facts.attempt.str()},
                 {"attempts", served.attempts}});
            break;
        }
        ++state.fruitless;
        if (served.attempts > 0)
        {
            relay.metrics.count(request_event::resume);
        }
        const auto end = co_await attempt_once(state, *routed);
        if (end == attempt_end::whole)
        {
            co_await finish(state);
            co_return;
        }
        if (end == attempt_end::passed_on || end == attempt_end::caller_lost)
        {
            served.must_close =
                served.must_close || end == attempt_end::caller_lost;
            co_return;
        }
        state.refused = state.refused || end == attempt_end::refused;
        if (!may_go_on(state, end))
        {
            break;
        }
    }
    co_await end_unfinished(state);
}

} // namespace fireflysail
