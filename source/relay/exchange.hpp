#pragma once

#include "blackboard/traffic_config.hpp"
#include "common/clock.hpp"
#include "relay/caller_connection.hpp"
#include "relay/message_codec.hpp"
#include "relay/own_answer.hpp"
#include "relay/relay_context.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// One copy of a request while it is sent to a backend server and answered.
struct request_copy
{
    explicit request_copy(answer_memory& answers);

    /// Ends it early: the other copy was answered, or it is not wanted any
    /// more.
    void cancel();

    /// Ends the connection in use, if any.
    void close_connection();

    server_id server;
    /// The connection in use; closed to end the copy early.
    backend_connection* connection = nullptr;
    answer_memory::holding held_answer;
    /// When it went out.
    std::optional<time_point> sent_at;
    bool is_cancelled = false;
};

/// One request of a caller, from its header to the end of its answer.
struct exchange
{
    exchange(relay_context& relay, caller_connection& caller);

    relay_context& relay;
    caller_connection& caller;
    http_request request;
    request_facts facts;
    std::shared_ptr<const traffic_config> config;
    /// Of the view that `config` was taken from, see relay_context.
    std::optional<duration> config_age;
    const route* matched = nullptr;
    /// Drawn by weight among the services of the route.
    service_id service;
    workspace_id workspace;
    /// Of the workspace.
    std::optional<std::uint32_t> rank;
    time_point received_at;
    /// When the caller or the route stops waiting, whichever is sooner.
    time_point deadline;
    /// Attempts whose request went out to a backend server.
    std::uint32_t attempts = 0;
    request_copy first;
    /// Sent beside the first one that is not answered.
    std::optional<request_copy> second;
    /// Those that carried an attempt. An answer on them that names the attempt
    /// may be one to the earlier request, so that they carry no other one.
    std::vector<connection_number> used_connections;
    request_memory::holding held_body;
    bool expired = false;
    /// The connection to the caller cannot carry another request.
    bool must_close = false;
    /// Let through to see whether its content still crashes engines.
    bool is_trial = false;
    /// What it has in common with a resend, and with other requests.
    request_content content;
    /// Another instance sent it, as it is cut off from the backend servers.
    bool is_from_peer = false;
    /// The instance that it was sent to, if any.
    instance_id passed_to;
    /// For the log: the last server and status.
    server_id last_server;
    unsigned last_status = 0;
    /// Empty unless the answer is our own.
    std::string_view own_reason;
    std::optional<duration> first_event_after;
    std::uint32_t events = 0;
    duration longest_gap{};
    time_point last_event_at{};
    /// Time for which no pipeline was there.
    duration held{};
    /// When the caller should come back: decided for this request, or else
    /// what its refusal usually says.
    std::optional<duration> come_back_after;

    duration time_left() const;

    /// Rank of the workspace, else of the route; 0 is the most urgent.
    std::uint32_t urgency() const;

    /// The caller left or the time is up.
    bool is_over() const;

    /// Ends the connections of all copies that run.
    void end_copies();

    /// Takes the configuration in force.
    void take_config();

    /// Sets when to come back by the outage that is going on.
    void advise_return();
};

/// Serves a request to a plain service.
asio::awaitable<void> serve_plain(exchange& served);

/// Serves a stream of a model engine.
asio::awaitable<void> serve_stream(exchange& served);

/// Reads the whole body; false when it broke off, is too large, or the answers
/// of all requests are.
asio::awaitable<bool> read_whole_body(
    request_copy& copy, backend_connection& connection, std::string& body);

/// Reads the header of the answer to this request. Reads past interim answers,
/// and past those to earlier requests: a server may send an answer once more,
/// late, where the next one is due. Nothing if no answer came that is surely
/// the one to this request; the connection is closed then.
asio::awaitable<std::optional<answer_facts>> read_own_header(
    exchange& served, request_copy& copy, backend_connection& connection);

/// Sends a backend server's whole answer, without what concerned its
/// connection only.
asio::awaitable<void> deliver(exchange& served, http_response& answer);

/// Reads the body of the answer whose header the connection has read, and sends
/// the answer. False if it broke off; nothing was sent then.
asio::awaitable<bool>
deliver_rest(exchange& served, backend_connection& connection);

/// How often requests of the route may run.
work_kind work_of(const route& matched);

/// Sends an answer of our own.
asio::awaitable<void> answer_ourselves(exchange& served, own_answer why);

/// The rank that backend servers are told; nothing where all requests to the
/// service are equally urgent.
std::optional<std::uint32_t> engine_rank(const exchange& served);

/// Header and body of a backend server's request for this exchange.
std::shared_ptr<const http_request>
make_dispatch(const exchange& served, const dispatch_facts& facts);

/// Removes the fields that concern only one connection.
void remove_connection_fields(http_fields& header);

/// Opens the connection unless it is open already. False when no connection
/// could be made, or the copy is not to be sent any more: nothing was sent.
asio::awaitable<bool>
ensure_open(exchange& served, request_copy& copy, backend_pool::taken& taken);

/// Whether an operator, the platform or the server itself ends the server, or
/// has ended it.
bool is_leaving(const relay_context& relay, const server_id& server);

/// Whether a request that waited for the server may still be sent to it.
bool may_be_sent_to(const relay_context& relay, const server_id& server);

/// The server that an attempt was sent to, as it was known then.
struct contacted_server
{
    server_id id;
    std::uint64_t boot = 0;
    endpoint address;
};

contacted_server contact(
    const relay_context& relay, const server_id& id, const endpoint& address);

/// Takes in what the server says of itself in an answer: its limit of requests,
/// that it leaves, and for how long it wants no request.
void note_answer(
    relay_context& relay,
    const contacted_server& server,
    const answer_facts& facts);

/// Servers that are left out of a choice although they are there.
enum class held_back
{
    /// Those at their limit and those that back off.
    all,
    /// Those at their limit.
    limited,
    none,
};

void exclude(
    const relay_context& relay,
    held_back which,
    std::vector<server_id>& excluded);

/// Sets when to come back for a refused request if all servers that could run
/// it back off: after the earliest end among them, spread.
void advise_after_backoff(
    exchange& served, const std::vector<server_id>& servers);

struct limit_wait
{
    /// Nothing: the request is not to wait.
    std::optional<duration> pause;
};

/// What a request does that found only servers whose limit leaves no room: it
/// waits for a moment, as long as it may still be in time, or is refused and
/// told when to come back. One that has begun waits on.
limit_wait wait_for_limit(exchange& served, duration waited, bool has_begun);

/// After a run that broke: whether the server is gone, as told by a new
/// connection. That none can be made to any server says nothing of this one.
asio::awaitable<bool>
is_crashed(exchange& served, const server_id& server, const endpoint& address);

} // namespace fireflysail
