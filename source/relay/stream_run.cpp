#include "relay/stream_run.hpp"

#include "backend/event_stream.hpp"
#include "common/log.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>
#include <variant>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Engines cut what depends on a dead one after the stall that the platform
/// states; silence longer than that by this much is a lost connection.
constexpr duration silence_margin = 300ms;

/// Whether the first engine refuses for lack of a free slot. Where the streams
/// of all instances are known, new ones leave it anyway. Taken for a fault, the
/// refusals of two full engines kept all instances off every pipeline through
/// them, and the others filled up in turn.
bool is_full(
    const stream_state& state,
    const routed_pipeline& routed,
    const answer_facts& facts)
{
    const bool blames_first =
        !facts.failed_server ||
        *facts.failed_server == routed.stages.front().address;
    return state.served.relay.pipelines.has_fleet_streams() && blames_first &&
           facts.load &&
           facts.load->running + facts.load->waiting >= facts.load->slots;
}

/// Answers from here on say that the server failed.
constexpr unsigned first_server_error = 500;

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
    if (!is_full(state, routed, facts))
    {
        state.served.relay.inquiry.report(
            blamed.server, engine_fault::named_by_peer);
    }
}

std::vector<server_id> servers_of(const routed_pipeline& routed)
{
    std::vector<server_id> servers;
    std::ranges::transform(
        routed.stages, std::back_inserter(servers), &stage_address::server);
    return servers;
}

/// Closes the connection at the moment that it is set to.
io_deadline
closes_when_silent(const exchange& served, backend_connection& connection)
{
    return {
        served.relay.executor,
        served.relay.time,
        [&connection]
        {
            connection.close();
        }};
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

enum class forwarded
{
    /// No event with an id that the caller lacks.
    nothing,
    progress,
    caller_lost,
};

/// Forwards the whole events received.
asio::awaitable<forwarded>
forward(stream_state& state, event_stream& events, std::string& out)
{
    out.clear();
    bool is_progress = false;
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
        is_progress = is_progress || event->id;
        state.last_event = event->id ? event->id : state.last_event;
    }
    if (out.empty())
    {
        co_return forwarded::nothing;
    }
    exchange& served = state.served;
    if (is_progress)
    {
        if (!std::exchange(state.has_begun, true))
        {
            served.relay.crashes.on_run_begun(served.content);
        }
        state.fruitless = 0;
        state.run->on_event();
        state.first_event->clear();
        note_events(served);
    }
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
    co_return failed ? forwarded::caller_lost
    : is_progress    ? forwarded::progress
                     : forwarded::nothing;
}

asio::awaitable<stream_end>
relay_events(stream_state& state, backend_connection& connection)
{
    exchange& served = state.served;
    event_stream events;
    std::string out;
    std::array<char, 8192> part{};
    io_deadline silence = closes_when_silent(served, connection);
    const duration longest_silence =
        served.relay.node.bounds.stage_stall + silence_margin;
    time_point silent_until = served.relay.time.now() + longest_silence;
    while (true)
    {
        silence.set(silent_until);
        const auto read = co_await connection.read_body(part);
        silence.clear();
        const time_point read_at = served.relay.time.now();
        const bool fits = events.append({part.data(), read.bytes});
        if (!fits || served.caller.has_left())
        {
            co_return served.caller.has_left() ? stream_end::caller_lost
                                               : stream_end::broken;
        }
        const forwarded passed = co_await forward(state, events, out);
        if (passed == forwarded::caller_lost)
        {
            co_return stream_end::caller_lost;
        }
        // Bytes that make no event are no progress, and the time that the
        // caller takes to read is no silence of the engine.
        const time_point now = served.relay.time.now();
        silent_until = passed == forwarded::progress
                           ? now + longest_silence
                           : silent_until + (now - read_at);
        if (read.error || (read.is_last && events.has_partial()))
        {
            co_return stream_end::broken;
        }
        if (read.is_last)
        {
            // One that ends with its connection says nothing of its end.
            const bool is_empty =
                !state.has_begun && connection.ends_with_connection();
            co_return is_empty ? stream_end::broken : stream_end::whole;
        }
    }
}

asio::awaitable<stream_end>
pass_on(exchange& served, backend_connection& connection)
{
    const bool is_delivered = co_await deliver_rest(served, connection);
    co_return is_delivered ? stream_end::passed_on : stream_end::broken;
}

/// Reads the header of the run's answer, for as long as it may take to begin.
asio::awaitable<std::optional<answer_facts>>
read_header_in_time(exchange& served, backend_connection& connection)
{
    io_deadline silence = closes_when_silent(served, connection);
    silence.set(
        served.relay.time.now() + served.relay.node.bounds.stage_stall +
        served.matched->latency_objective);
    co_return co_await read_own_header(served, served.first, connection);
}

/// An engine that fails at once looks idle by its streams in flight, and would
/// get the new streams of all instances.
void avoid_failing_pipeline(exchange& served, const server_id& first_stage)
{
    relay_context& relay = served.relay;
    if (relay.pipelines.has_fleet_streams() &&
        relay.congestion.report(first_stage, relay.time.now()))
    {
        log::event(
            log::level::warning,
            log::channel::routing,
            "pipeline_fails",
            {{"request", served.facts.attempt.str()},
             {"server", first_stage.str()},
             {"status", served.last_status}});
        relay.share_congestion(first_stage);
    }
}

/// Whether the answer is a stream, as far as it says.
bool is_event_stream(const http::response_header<>& header)
{
    constexpr beast::string_view wanted = "text/event-stream";
    const auto type = header[http::field::content_type];
    return type.empty() ||
           beast::iequals(type.substr(0, wanted.size()), wanted);
}

asio::awaitable<stream_end> read_stream(
    stream_state& state,
    const routed_pipeline& routed,
    backend_connection& connection)
{
    exchange& served = state.served;
    const auto facts = co_await read_header_in_time(served, connection);
    if (!facts)
    {
        co_return stream_end::broken;
    }
    state.answered = true;
    const auto& header = connection.header();
    served.last_status = header.result_int();
    connection.idle_limit = facts->keep_alive;
    note_answer(served.relay, state.contacted, *facts);
    if (facts->load)
    {
        served.relay.pipelines.on_first_stage_load(
            routed.route, facts->load->running, facts->load->waiting);
    }
    if (facts->not_run)
    {
        exclude_failed(state, routed, *facts);
        co_return stream_end::refused;
    }
    if (!facts->stamped)
    {
        co_return stream_end::broken;
    }
    const bool is_stream =
        header.result() == http::status::ok && is_event_stream(header);
    if (header.result_int() >= first_server_error)
    {
        avoid_failing_pipeline(served, routed.stages.front().server);
    }
    if (!is_stream)
    {
        if (state.header_sent)
        {
            co_return stream_end::broken;
        }
        co_return co_await pass_on(served, connection);
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
         {"answered", state.answered},
         {"begun", state.has_begun},
         {"parts", name_of(state.served.facts.shared_parts)},
         {"last_event", state.last_event.value_or(0)},
         {"status", served.last_status},
         {"attempt", served.attempts}});
    state.excluded.push_back(first);
    served.relay.reach.on_failure(first);
    if (state.silenced)
    {
        served.relay.inquiry.report_stalled_pipeline(first);
    }
    else
    {
        served.relay.inquiry.report(first, engine_fault::unreachable);
    }
}

/// Part of the latency objective after which the first event is late: a stream
/// that moves then may still begin in time.
constexpr double late_part_of_objective = 0.5;

/// Whether a pipeline that is not congested would take the stream.
bool has_better_pipeline(const stream_state& state, const server_id& current)
{
    const auto choice = choose_pipeline(state);
    const auto* routed = std::get_if<routed_pipeline>(&choice);
    if (routed == nullptr)
    {
        return false;
    }
    const server_id& first = routed->stages.front().server;
    const relay_context& relay = state.served.relay;
    return first != current &&
           !relay.congestion.is_congested(first, relay.time.now());
}

/// After a run without an event: suspects the content if the engine crashed.
asio::awaitable<void>
note_crash(stream_state& state, const routed_pipeline& routed)
{
    exchange& served = state.served;
    const stage_address& first = routed.stages.front();
    const bool is_lost =
        co_await is_crashed(served, first.server, first.address);
    if (!is_lost || is_leaving(served.relay, first.server))
    {
        co_return;
    }
    ++state.crashes;
    served.relay.crashes.on_run_crashed(
        {first.server, served.content, state.answered});
}

bool may_run_elsewhere(const stream_state& state)
{
    // The run in progress counts as well.
    return state.served.matched->resumable &&
           state.ran_at.size() + 1 < state.served.matched->most_attempts;
}

/// The first event is late: new streams avoid the pipeline, and this one leaves
/// it if another one has room.
void on_late_first_event(
    stream_state& state,
    const server_id& first_stage,
    backend_connection& connection)
{
    relay_context& relay = state.served.relay;
    const time_point now = relay.time.now();
    if (!state.answered)
    {
        // A kept connection does not tell that its server cannot be reached.
        relay.reach.on_failure(first_stage);
    }
    if (relay.congestion.report(first_stage, now))
    {
        log::event(
            log::level::warning,
            log::channel::routing,
            "pipeline_congested",
            {{"request", state.served.facts.attempt.str()},
             {"server", first_stage.str()}});
        relay.share_congestion(first_stage);
    }
    if (may_run_elsewhere(state) && has_better_pipeline(state, first_stage) &&
        budget_of(relay, state.served.service).try_take_spare(now))
    {
        state.is_moved = true;
        state.repeat_is_paid = true;
        connection.close();
    }
}

/// Ends the run if it may go on elsewhere; else it waits for its engines.
bool leave_silent(stream_state& state, backend_connection& connection)
{
    exchange& served = state.served;
    relay_context& relay = served.relay;
    if (!may_run_elsewhere(state) ||
        !budget_of(relay, served.service).try_take(relay.time.now()))
    {
        return false;
    }
    state.silenced = true;
    state.repeat_is_paid = true;
    connection.close();
    return true;
}

} // namespace

asio::awaitable<stream_end>
run_stream(stream_state& state, const routed_pipeline& routed)
{
    exchange& served = state.served;
    relay_context& relay = served.relay;
    const stage_address& first = routed.stages.front();
    served.first.server = first.server;
    auto taken = relay.pool.take(
        first.address, work_kind::idempotent, served.used_connections);
    const bool is_open = co_await ensure_open(served, served.first, taken);
    if (!is_open)
    {
        state.excluded.push_back(first.server);
        relay.inquiry.report(first.server, engine_fault::unreachable);
        co_return stream_end::unsent;
    }
    dispatch_facts facts;
    facts.time_left = served.time_left();
    facts.server = first.server;
    facts.workspace = served.workspace;
    facts.stages = routed.stages;
    facts.last_event = state.last_event;
    facts.rank = engine_rank(served);
    ++served.attempts;
    served.used_connections.push_back(taken.connection->number());
    served.last_server = first.server;
    const pipeline_router::usage usage{relay.pipelines, routed.route};
    const local_demand::in_flight counted{
        relay.demand, pipeline_key(first.server.str())};
    served.first.connection = taken.connection.get();
    state.silenced = false;
    state.is_moved = false;
    state.answered = false;
    state.has_begun = false;
    stall_monitor::run run{
        relay.stalls,
        routed.route.key,
        servers_of(routed),
        [&state, connection = taken.connection.get()]
        {
            return leave_silent(state, *connection);
        }};
    state.run = &run;
    io_deadline first_event{
        relay.executor,
        relay.time,
        [&state, &first, connection = taken.connection.get()]
        {
            on_late_first_event(state, first.server, *connection);
        }};
    const duration objective = served.matched->latency_objective;
    if (objective > duration::zero())
    {
        first_event.set(
            relay.time.now() + std::chrono::duration_cast<duration>(
                                   objective * late_part_of_objective));
    }
    state.first_event = &first_event;
    state.contacted = contact(relay, first.server, first.address);
    taken.connection->start_request(make_dispatch(served, facts));
    const auto end = co_await read_stream(state, routed, *taken.connection);
    state.run = nullptr;
    state.first_event = nullptr;
    served.first.connection = nullptr;
    const bool may_have_run =
        end != stream_end::refused && end != stream_end::unsent;
    if (may_have_run &&
        std::ranges::find(state.ran_at, first.server) == state.ran_at.end())
    {
        state.ran_at.push_back(first.server);
    }
    if (state.is_moved)
    {
        state.excluded.push_back(first.server);
    }
    else if (end == stream_end::broken && !served.is_over())
    {
        blame(state, routed);
        // A stream that has begun somewhere does not crash engines.
        if (!state.silenced && !state.has_begun && served.events == 0)
        {
            co_await note_crash(state, routed);
        }
    }
    if (end != stream_end::broken && !is_leaving(relay, first.server))
    {
        relay.pool.give_back(std::move(taken.connection));
    }
    co_return end;
}

} // namespace fireflysail
