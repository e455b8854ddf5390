#include "relay/plain_attempt.hpp"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace fireflysail
{

namespace
{

/// Answers from here on say that the server failed.
constexpr unsigned first_server_error = 500;

asio::awaitable<attempt_result> read_answer(
    exchange& served, request_copy& copy, backend_connection& connection)
{
    attempt_result result;
    const auto facts = co_await read_own_header(served, copy, connection);
    if (!facts)
    {
        co_return result;
    }
    result.has_header = true;
    result.facts = *facts;
    result.answer.base() = connection.header();
    const bool whole =
        co_await read_whole_body(copy, connection, result.answer.body());
    if (whole && result.facts.not_run)
    {
        result.end = attempt_end::refused;
    }
    else if (whole && result.facts.stamped)
    {
        result.end = attempt_end::answered;
    }
    co_return result;
}

} // namespace

bool is_server_error(const http_response& answer)
{
    return answer.result_int() >= first_server_error;
}

asio::awaitable<attempt_result> attempt_once(
    exchange& served,
    request_copy& copy,
    const service_server& server,
    work_kind work)
{
    relay_context& relay = served.relay;
    attempt_result result;
    copy.server = server.id;
    if (copy.is_cancelled || served.is_over())
    {
        // It was ended before it began to run.
        result.end = attempt_end::unsent;
        co_return result;
    }
    auto taken = relay.pool.take(server.address, work, served.used_connections);
    const bool is_open = co_await ensure_open(served, copy, taken);
    if (!is_open)
    {
        result.end = attempt_end::unsent;
        co_return result;
    }
    dispatch_facts facts;
    facts.time_left = served.time_left();
    facts.server = server.id;
    facts.workspace = served.workspace;
    ++served.attempts;
    served.used_connections.push_back(taken.connection->number());
    served.last_server = server.id;
    relay.servers.on_sent(server.id);
    const contacted_server contacted{
        server.id, server.started_at_ms, server.address};
    const time_point sent_at = relay.time.now();
    copy.sent_at = sent_at;
    copy.connection = taken.connection.get();
    taken.connection->start_request(make_dispatch(served, facts));
    result = co_await read_answer(served, copy, *taken.connection);
    copy.connection = nullptr;
    const time_point now = relay.time.now();
    taken.connection->last_heard = now;
    taken.connection->idle_limit = result.facts.keep_alive;
    if (result.has_header)
    {
        note_answer(relay, contacted, result.facts);
    }
    if (result.facts.load)
    {
        relay.servers.on_load(
            server.id,
            result.facts.load->running,
            result.facts.load->waiting,
            now);
    }
    if (copy.is_cancelled)
    {
        // Its connection is not used again, also if the answer came meanwhile:
        // whatever follows on it belongs to nobody.
        relay.servers.on_cancelled(server.id);
        co_return result;
    }
    const auto outcome =
        result.end == attempt_end::answered  ? server_outcome::answered
        : result.end == attempt_end::refused ? server_outcome::refused
                                             : server_outcome::failed;
    relay.servers.on_ended(server.id, outcome, now - sent_at, now);
    if (result.end != attempt_end::broken && !result.facts.leaving)
    {
        relay.pool.give_back(std::move(taken.connection));
    }
    co_return result;
}

const service_server* choose_server(
    const exchange& served,
    const fleet_snapshot& fleet,
    std::vector<server_id> excluded,
    held_back left_out)
{
    relay_context& relay = served.relay;
    exclude(relay, left_out, excluded);
    const auto choose = [&](std::span<const server_id> without)
    {
        return relay.servers.choose(
            fleet,
            served.service,
            relay.node.zone,
            without,
            relay.time.now(),
            relay.random);
    };
    const std::size_t usable_count = excluded.size();
    std::ranges::copy(
        relay.backoff.returning(relay.random), std::back_inserter(excluded));
    const service_server* const chosen = choose(excluded);
    // One that has just stopped to back off is better than none.
    return chosen != nullptr || excluded.size() == usable_count
               ? chosen
               : choose(std::span{excluded}.first(usable_count));
}

} // namespace fireflysail
