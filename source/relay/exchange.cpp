#include "relay/exchange.hpp"

#include "common/log.hpp"
#include "relay/peer_exchange.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// A server in the same region accepts a connection well within this time;
/// one that does not is down or cut off.
constexpr duration connect_limit = 400ms;

/// Answers below are interim ones.
constexpr unsigned first_final_status = 200;

/// Largest answer that is kept until it is whole.
constexpr std::size_t most_answer_bytes = std::size_t{8} * 1024 * 1024;

/// Part of the latency objective for which a request may wait until a server
/// with a limit takes another one.
constexpr double limit_wait_part = 0.25;

/// Pauses before a server with a limit is asked again.
constexpr duration min_limit_pause = 2ms;
constexpr duration max_limit_pause = 50ms;

constexpr std::array<std::string_view, 9> connection_fields{
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade"};

/// An answer whose bytes make no sense. A connection that ended before any is
/// no answer.
void log_unreadable(
    const exchange& served, const request_copy& copy, const io_error& failed)
{
    if (failed.category() !=
            http::make_error_code(http::error::bad_value).category() ||
        failed == http::error::end_of_stream)
    {
        return;
    }
    log::event(
        log::level::warning,
        log::channel::routing,
        "answer_unreadable",
        {{"request", served.facts.attempt.str()},
         {"server", copy.server.str()},
         {"error", failed.message()}});
}

/// An answer that is not, or not surely, the one to the request.
void note_foreign(
    const exchange& served,
    const request_copy& copy,
    unsigned status,
    const answer_facts& facts)
{
    served.relay.metrics.count(request_event::foreign_answer);
    log::event(
        log::level::warning,
        log::channel::routing,
        "foreign_answer",
        {{"request", served.facts.attempt.str()},
         {"server", copy.server.str()},
         {"answers", facts.attempt.str()},
         {"status", status},
         {"not_run", facts.not_run}});
}

/// Reads past an answer to another request; false if it does not end, or ends
/// the connection. The own answer may follow.
asio::awaitable<bool>
skip_answer(request_copy& copy, backend_connection& connection)
{
    std::string body;
    const bool whole = co_await read_whole_body(copy, connection, body);
    if (!whole || !connection.may_expect_next_answer())
    {
        co_return false;
    }
    connection.expect_next_answer();
    co_return true;
}

} // namespace

request_copy::request_copy(answer_memory& answers)
    : held_answer{
          answers,
          [this]
          {
              this->close_connection();
          }}
{
}

void request_copy::cancel()
{
    this->is_cancelled = true;
    this->close_connection();
}

void request_copy::close_connection()
{
    if (this->connection != nullptr)
    {
        this->connection->close();
    }
}

exchange::exchange(relay_context& relay, caller_connection& caller)
    : relay{relay}
    , caller{caller}
    , first{relay.answers}
    , held_body{relay.bodies}
{
}

void exchange::end_copies()
{
    this->first.close_connection();
    if (this->second)
    {
        this->second->close_connection();
    }
}

duration exchange::time_left() const
{
    return this->deadline - this->relay.time.now();
}

std::uint32_t exchange::urgency() const
{
    return this->rank.value_or(this->matched->rank);
}

bool exchange::is_over() const
{
    return this->expired || this->caller.has_left();
}

void exchange::take_config()
{
    // What is read between the two makes the view seem older than it is.
    this->config_age = this->relay.config_age();
    this->config = this->relay.board.traffic.load();
}

void exchange::advise_return()
{
    this->come_back_after = this->relay.outages.retry_delay(
        this->relay.store_is_lost, this->time_left(), this->relay.random);
}

asio::awaitable<void> answer_ourselves(exchange& served, own_answer why)
{
    served.last_status = status_of(why);
    served.own_reason = name_of(why);
    if (served.caller.has_left())
    {
        co_return;
    }
    http_response answer{http::int_to_status(status_of(why)), 11};
    const auto usual = usual_retry_after(why);
    served.come_back_after =
        usual && served.come_back_after ? served.come_back_after : usual;
    served.relay.codec.write_own_answer(
        answer, served.facts.attempt, served.come_back_after);
    answer.set(http::field::content_type, "text/plain");
    answer.body() = std::string{name_of(why)} + "\n";
    answer.keep_alive(!served.must_close && !served.relay.draining);
    answer.prepare_payload();
    const io_error failed = co_await served.caller.write(answer);
    if (failed)
    {
        served.must_close = true;
    }
}

std::optional<std::uint32_t> engine_rank(const exchange& served)
{
    return served.relay.ranked_services.contains(served.service)
               ? std::optional{std::min(served.urgency(), max_demand_rank)}
               : std::nullopt;
}

std::shared_ptr<const http_request>
make_dispatch(const exchange& served, const dispatch_facts& facts)
{
    auto outgoing = std::make_shared<http_request>(served.request);
    remove_connection_fields(*outgoing);
    outgoing->erase(http::field::expect);
    served.relay.codec.write_dispatch(*outgoing, facts);
    outgoing->version(11);
    const bool had_body = !served.request.body().empty() ||
                          served.request.has_content_length() ||
                          served.request.chunked();
    if (had_body)
    {
        outgoing->content_length(outgoing->body().size());
    }
    return outgoing;
}

void remove_connection_fields(http_fields& header)
{
    std::vector<std::string> named;
    const auto [first, last] = header.equal_range("Connection");
    std::for_each(
        first,
        last,
        [&named](const auto& field)
        {
            const absl::string_view value{
                field.value().data(), field.value().size()};
            for (const auto token : absl::StrSplit(value, ','))
            {
                named.emplace_back(absl::StripAsciiWhitespace(token));
            }
        });
    for (const std::string& name : named)
    {
        header.erase(name);
    }
    for (const std::string_view name : connection_fields)
    {
        header.erase({name.data(), name.size()});
    }
}

asio::awaitable<bool>
ensure_open(exchange& served, request_copy& copy, backend_pool::taken& taken)
{
    if (taken.is_open)
    {
        co_return true;
    }
    copy.connection = taken.connection.get();
    const io_error failed = co_await taken.connection->open(
        std::min(connect_limit, std::max(served.time_left(), 1ns * 0)));
    copy.connection = nullptr;
    if (copy.is_cancelled)
    {
        co_return false;
    }
    auto& counts = served.relay.pool.counts;
    ++(failed ? counts.failed : counts.opened);
    if (!failed)
    {
        served.relay.reach.on_contact();
    }
    else if (!served.is_over())
    {
        served.relay.reach.on_failure(copy.server);
    }
    co_return !failed && !served.is_over();
}

asio::awaitable<bool> read_whole_body(
    request_copy& copy, backend_connection& connection, std::string& body)
{
    std::array<char, 8192> part{};
    copy.held_answer.begin_read();
    bool is_whole = false;
    bool goes_on = true;
    while (goes_on)
    {
        const auto read = co_await connection.read_body(part);
        body.append(part.data(), read.bytes);
        const bool fits = copy.held_answer.grow(read.bytes) &&
                          body.size() <= most_answer_bytes;
        is_whole = fits && !read.error && read.is_last;
        goes_on = fits && !read.error && !read.is_last;
    }
    copy.held_answer.end_read();
    co_return is_whole;
}

asio::awaitable<std::optional<answer_facts>> read_own_header(
    exchange& served, request_copy& copy, backend_connection& connection)
{
    bool goes_on = true;
    while (goes_on)
    {
        const io_error failed = co_await connection.read_header();
        if (failed)
        {
            log_unreadable(served, copy, failed);
            break;
        }
        const auto& header = connection.header();
        if (header.result_int() < first_final_status)
        {
            goes_on = connection.expect_final_answer();
            continue;
        }
        auto facts =
            served.relay.codec.read_answer(header.result_int(), header);
        if (facts.attempt == served.facts.attempt)
        {
            co_return facts;
        }
        note_foreign(served, copy, header.result_int(), facts);
        // One that names no request may be the own one, or any other.
        goes_on = !facts.attempt.empty();
        if (goes_on)
        {
            goes_on = co_await skip_answer(copy, connection);
        }
    }
    connection.close();
    co_return std::nullopt;
}

asio::awaitable<void> deliver(exchange& served, http_response& answer)
{
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
}

asio::awaitable<bool>
deliver_rest(exchange& served, backend_connection& connection)
{
    http_response answer;
    answer.base() = connection.header();
    const bool is_whole =
        co_await read_whole_body(served.first, connection, answer.body());
    if (is_whole)
    {
        co_await deliver(served, answer);
    }
    co_return is_whole;
}

work_kind work_of(const route& matched)
{
    switch (matched.kind)
    {
    case route_kind::idempotent:
        return work_kind::idempotent;
    case route_kind::non_idempotent:
        return work_kind::non_idempotent;
    case route_kind::stream:
        return matched.resumable ? work_kind::stream
                                 : work_kind::non_idempotent;
    }
    return work_kind::non_idempotent;
}

bool is_leaving(const relay_context& relay, const server_id& server)
{
    const auto listed = find_server(*relay.board.fleet.load(), server);
    return !listed || !accepts_new_work(listed->mark);
}

bool may_be_sent_to(const relay_context& relay, const server_id& server)
{
    return !is_leaving(relay, server) && !relay.backoff.until(server);
}

contacted_server contact(
    const relay_context& relay, const server_id& id, const endpoint& address)
{
    const auto listed = find_server(*relay.board.fleet.load(), id);
    return {id, listed ? listed->started_at_ms : 0, address};
}

void note_answer(
    relay_context& relay,
    const contacted_server& server,
    const answer_facts& facts)
{
    relay.rate_limits.on_answer(server.id, facts.rate_limit);
    if (facts.leaving)
    {
        relay.pool.close_idle_to(server.address);
        relay.on_leaving(server.id, server.boot);
    }
    if (!facts.backoff)
    {
        if (facts.has_bad_backoff && relay.backoff.on_unreadable(server.id))
        {
            log::event(
                log::level::warning,
                log::channel::routing,
                "backoff_unreadable",
                {{"server", server.id.str()}});
        }
        return;
    }
    const auto& load = facts.load;
    const bool was_full = load && load->running + load->waiting >= load->slots;
    const bool is_new = relay.backoff.on_refusal(
        server.id, server.boot, *facts.backoff, was_full);
    if (is_new)
    {
        log::event(
            log::level::info,
            log::channel::routing,
            "server_backs_off",
            {{"server", server.id.str()},
             {"boot", server.boot},
             {"seconds", to_seconds(*facts.backoff)},
             {"was_full", was_full}});
    }
}

void exclude(
    const relay_context& relay,
    held_back which,
    std::vector<server_id>& excluded)
{
    const auto add = [&excluded](const std::vector<server_id>& servers)
    {
        std::ranges::copy(servers, std::back_inserter(excluded));
    };
    if (which != held_back::none)
    {
        add(relay.rate_limits.exhausted());
    }
    if (which == held_back::all)
    {
        add(relay.backoff.closed());
    }
}

void advise_after_backoff(
    exchange& served, const std::vector<server_id>& servers)
{
    relay_context& relay = served.relay;
    const time_point now = relay.time.now();
    std::optional<duration> earliest;
    for (const server_id& server : servers)
    {
        const auto end = relay.backoff.until(server);
        if (!end)
        {
            return;
        }
        earliest = std::min(earliest.value_or(*end - now), *end - now);
    }
    if (!earliest)
    {
        return;
    }
    // Those that are refused together do not come back together.
    const duration spread = std::chrono::duration_cast<duration>(
        retry_after_overload *
        std::uniform_real_distribution{0.0, 1.0}(relay.random));
    served.come_back_after = *earliest + spread;
}

limit_wait wait_for_limit(exchange& served, duration waited, bool has_begun)
{
    relay_context& relay = served.relay;
    const auto until_room =
        relay.rate_limits.time_until_room().value_or(min_limit_pause);
    const auto longest = std::chrono::duration_cast<duration>(
        served.matched->latency_objective * limit_wait_part);
    if (has_begun || waited + until_room <= longest)
    {
        return {std::clamp(until_room, min_limit_pause, max_limit_pause)};
    }
    // Those that are refused together do not come back together.
    const duration spread = std::chrono::duration_cast<duration>(
        retry_after_overload *
        std::uniform_real_distribution{1.0, 2.0}(relay.random));
    served.come_back_after = until_room + spread;
    return {};
}

asio::awaitable<bool>
is_crashed(exchange& served, const server_id& server, const endpoint& address)
{
    reach_prober& reach = served.relay.reach;
    reach.on_failure(server);
    backend_connection probe{served.relay.executor, address, {}};
    const io_error refused = co_await probe.open(connect_limit);
    if (!refused)
    {
        reach.on_contact();
    }
    co_await wait_for_reach(served);
    co_return refused && !reach.is_cut_off();
}

} // namespace fireflysail
