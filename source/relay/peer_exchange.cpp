#include "relay/peer_exchange.hpp"

#include "common/log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Instances that are asked for one request.
constexpr std::size_t most_peers = 3;

/// Of those, the ones that may run it.
constexpr int most_runs = 2;

/// An instance accepts connections as long as it runs.
constexpr duration connect_limit = 300ms;

constexpr duration reach_poll = 20ms;

/// How one request to another instance ended.
enum class peer_end
{
    /// The caller has its answer, as far as that came, or left.
    done,
    /// The instance states that nothing ran.
    refused,
    /// No connection; nothing was sent.
    unsent,
    /// Sent, without an answer that could be passed to the caller.
    broken,
    /// The instance states that it may have run. It made all attempts that the
    /// route allows.
    failed,
};

/// Own answers of an instance promise that nothing ran, but for these.
bool may_have_run(http::status own)
{
    return own == http::status::internal_server_error ||
           own == http::status::bad_gateway ||
           own == http::status::gateway_timeout ||
           http::to_status_class(own) == http::status_class::successful;
}

std::shared_ptr<const http_request> make_peer_request(const exchange& served)
{
    auto outgoing = std::make_shared<http_request>(served.request);
    const bool had_body = !outgoing->body().empty() ||
                          outgoing->has_content_length() || outgoing->chunked();
    remove_connection_fields(*outgoing);
    outgoing->erase(http::field::expect);
    served.relay.codec.write_time_left(*outgoing, served.time_left());
    outgoing->version(11);
    if (had_body)
    {
        outgoing->content_length(outgoing->body().size());
    }
    return outgoing;
}

/// Takes an answer that the instance made itself.
asio::awaitable<peer_end> take_refusal(
    exchange& served, backend_connection& connection, const answer_facts& facts)
{
    const http::status status = connection.header().result();
    served.last_status = connection.header().result_int();
    if (may_have_run(status))
    {
        co_return peer_end::failed;
    }
    served.come_back_after = facts.backoff;
    // Read to its end so that the connection may be kept.
    std::string body;
    co_await read_whole_body(served.first, connection, body);
    co_return peer_end::refused;
}

asio::awaitable<peer_end>
forward_stream(exchange& served, backend_connection& connection)
{
    http_response header;
    header.base() = connection.header();
    remove_connection_fields(header);
    header.version(11);
    header.keep_alive(!served.must_close && !served.relay.draining);
    std::array<char, 8192> part{};
    bool has_begun = false;
    while (true)
    {
        const auto read = co_await connection.read_body(part);
        if (served.caller.has_left())
        {
            co_return peer_end::done;
        }
        const std::string_view bytes{part.data(), read.bytes};
        io_error failed;
        if (!bytes.empty() && has_begun)
        {
            failed = co_await served.caller.write_chunk(bytes);
        }
        else if (!bytes.empty())
        {
            has_begun = true;
            served.first_event_after =
                served.relay.time.now() - served.received_at;
            failed = co_await served.caller.write_first_chunk(header, bytes);
        }
        const bool is_cut =
            read.error || (read.is_last && connection.ends_with_connection());
        if (is_cut && !has_begun)
        {
            co_return peer_end::broken;
        }
        if (failed || is_cut)
        {
            // Without its last chunk the answer does not look complete.
            served.must_close = true;
            co_return peer_end::done;
        }
        if (read.is_last)
        {
            if (has_begun)
            {
                failed = co_await served.caller.write_last_chunk();
            }
            else
            {
                failed = co_await served.caller.write_empty(header);
            }
            served.must_close = served.must_close || failed;
            co_return peer_end::done;
        }
    }
}

asio::awaitable<peer_end>
take_answer(exchange& served, backend_connection& connection)
{
    const auto facts =
        co_await read_own_header(served, served.first, connection);
    if (!facts)
    {
        co_return peer_end::broken;
    }
    if (!facts->stamped || facts->not_run)
    {
        co_return co_await take_refusal(served, connection, *facts);
    }
    const auto& header = connection.header();
    served.last_status = header.result_int();
    const bool is_stream =
        served.matched->kind == route_kind::stream &&
        header.result() == http::status::ok &&
        header.find(http::field::content_length) == header.end();
    if (is_stream)
    {
        co_return co_await forward_stream(served, connection);
    }
    const bool is_delivered = co_await deliver_rest(served, connection);
    co_return is_delivered ? peer_end::done : peer_end::broken;
}

asio::awaitable<peer_end> ask_peer(exchange& served, const peer_instance& peer)
{
    relay_context& relay = served.relay;
    auto taken = relay.pool.take(
        peer.address, work_of(*served.matched), served.used_connections);
    backend_connection& connection = *taken.connection;
    served.first.connection = &connection;
    if (!taken.is_open)
    {
        const io_error failed = co_await connection.open(
            std::min(connect_limit, std::max(served.time_left(), 1ns * 0)));
        if (failed && !served.is_over())
        {
            relay.peers.on_unreachable(peer.id, relay.time.now());
        }
        if (failed || served.is_over())
        {
            served.first.connection = nullptr;
            co_return peer_end::unsent;
        }
    }
    served.used_connections.push_back(connection.number());
    served.passed_to = peer.id;
    const peer_balancer::in_flight counted{relay.peers, peer.id};
    connection.start_request(make_peer_request(served));
    const peer_end end = co_await take_answer(served, connection);
    served.first.connection = nullptr;
    if (end != peer_end::broken)
    {
        relay.pool.give_back(std::move(taken.connection));
    }
    co_return end;
}

/// Answers a request for which no instance did.
asio::awaitable<void> end_unanswered(exchange& served, int runs)
{
    if (served.expired)
    {
        co_await answer_ourselves(
            served,
            runs > 0 ? own_answer::timed_out : own_answer::timed_out_unsent);
        co_return;
    }
    co_await answer_ourselves(
        served,
        runs > 0 ? own_answer::unknown_outcome : own_answer::overloaded);
}

} // namespace

bool should_pass_on(const exchange& served)
{
    const relay_context& relay = served.relay;
    const time_point now = relay.time.now();
    return !served.is_from_peer && relay.reach.is_cut_off() &&
           relay.peers.has_choice(now) &&
           relay.stop.may_send(work_of(*served.matched), served.deadline, now);
}

bool should_hand_back(const exchange& served)
{
    const reach_prober& reach = served.relay.reach;
    return served.is_from_peer && (reach.is_cut_off() || reach.is_in_doubt());
}

asio::awaitable<bool> serve_at_peer(exchange& served)
{
    relay_context& relay = served.relay;
    std::vector<instance_id> asked;
    // Also those that a run of this instance came before.
    int runs = static_cast<int>(served.attempts);
    bool refused = false;
    const bool may_run_again =
        work_of(*served.matched) != work_kind::non_idempotent;
    // A run of this instance makes the next one a repeat.
    bool goes_on =
        runs == 0 ||
        (served.attempts < served.matched->most_attempts &&
         budget_of(relay, served.service).try_take(relay.time.now()));
    while (goes_on && !served.is_over() && asked.size() < most_peers)
    {
        const auto peer =
            relay.peers.choose(asked, relay.time.now(), relay.random);
        if (!peer)
        {
            break;
        }
        asked.push_back(peer->id);
        const peer_end end = co_await ask_peer(served, *peer);
        if (end == peer_end::done)
        {
            ++relay.passed_on;
            co_return true;
        }
        refused = refused || end == peer_end::refused;
        if (end == peer_end::broken && !served.is_over())
        {
            // The peer may be gone; or it does not know this instance yet.
            relay.peers.on_unreachable(peer->id, relay.time.now());
        }
        if (end == peer_end::broken || end == peer_end::failed)
        {
            ++runs;
            goes_on =
                end == peer_end::broken && may_run_again && runs < most_runs &&
                budget_of(relay, served.service).try_take(relay.time.now());
        }
        log::event(
            log::level::warning,
            log::channel::routing,
            "peer_did_not_serve",
            {{"request", served.facts.attempt.str()},
             {"peer", peer->id.str()},
             {"status", served.last_status},
             {"refused", end == peer_end::refused},
             {"sent", end != peer_end::unsent}});
    }
    const bool was_sent = refused || runs > static_cast<int>(served.attempts);
    if (!was_sent && !served.is_over())
    {
        co_return false;
    }
    co_await end_unanswered(served, runs);
    co_return true;
}

asio::awaitable<void> wait_for_reach(exchange& served)
{
    const relay_context& relay = served.relay;
    asio::steady_timer pause{relay.executor};
    while (!served.is_from_peer && !served.is_over() &&
           relay.reach.is_in_doubt())
    {
        co_await pause_for(pause, reach_poll);
    }
}

asio::awaitable<bool> pass_on_if_cut_off(exchange& served)
{
    const time_point began = served.relay.time.now();
    co_await wait_for_reach(served);
    served.held += served.relay.time.now() - began;
    if (!should_pass_on(served))
    {
        co_return false;
    }
    co_return co_await serve_at_peer(served);
}

} // namespace fireflysail
