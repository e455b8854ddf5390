#include "relay/caller_session.hpp"

#include "common/hash.hpp"
#include "common/log.hpp"
#include "common/store_era.hpp"
#include "relay/peer_exchange.hpp"
#include "relay/request_target.hpp"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Status of answers of our own that promise that nothing ran.
constexpr unsigned refused_status = 503;

/// Longest header of a request that is read; the sizes of its fields have 16
/// bits, and it fits into the connection's buffer.
constexpr std::uint64_t most_header_bytes = 65535;

/// After a refusal of a request that is still being sent, the rest of it is
/// read for so long, and so much of it: closing with unread bytes would reset
/// the connection, and the answer would be lost.
constexpr duration discard_time = 1s;
constexpr std::size_t most_discarded_bytes = std::size_t{8} * 1024 * 1024;

/// Time for the body of a request, beyond that for its header.
constexpr duration body_time = 10s;

/// Callers without a limit of their own wait as long as the route allows.
constexpr duration longest_request = 10min;

service_id draw_service(const route& matched, std::mt19937_64& random)
{
    const auto& services = matched.services;
    const auto total = std::accumulate(
        services.begin(),
        services.end(),
        std::uint64_t{0},
        [](std::uint64_t sum, const weighted_service& entry)
        {
            return sum + entry.weight;
        });
    if (total == 0)
    {
        return services.front().service;
    }
    std::uint64_t drawn =
        std::uniform_int_distribution<std::uint64_t>{0, total - 1}(random);
    for (const weighted_service& entry : services)
    {
        if (drawn < entry.weight)
        {
            return entry.service;
        }
        drawn -= entry.weight;
    }
    return services.back().service;
}

fingerprint fingerprint_of(const exchange& served)
{
    const auto target = served.request.target();
    auto hash = stable_hash({target.data(), target.size()});
    hash = stable_hash(served.facts.key, hash);
    return fingerprint{stable_hash(served.request.body(), hash)};
}

own_answer rejection_of(const io_error& error, bool has_config)
{
    if (error != http::error::header_limit && error != http::error::body_limit)
    {
        return own_answer::bad_request;
    }
    if (!has_config)
    {
        return own_answer::not_configured;
    }
    return error == http::error::header_limit ? own_answer::header_too_large
                                              : own_answer::body_too_large;
}

caller_limits limits_of(const traffic_config* config)
{
    return config == nullptr ? caller_limits{} : config->limits;
}

/// Whether the configuration may lack a change that is due to be in force.
bool may_miss_changes(const exchange& served)
{
    return served.relay.store_is_lost || !served.config_age ||
           *served.config_age > served.relay.node.bounds.config_in_force;
}

/// Callers do not come back after what a newer configuration may allow.
own_answer unless_stale(const exchange& served, own_answer why)
{
    switch (why)
    {
    case own_answer::header_too_large:
    case own_answer::body_too_large:
    case own_answer::no_route:
    case own_answer::unknown_key:
        return may_miss_changes(served) ? own_answer::stale_configuration : why;
    default:
        return why;
    }
}

/// Whose requests with the key are; nothing if the key is unknown.
std::optional<key_holder> holder_of(
    const traffic_config& config, const route& matched, const std::string& key)
{
    if (!config.has_workspaces || !matched.needs_key)
    {
        return key_holder{};
    }
    const auto found = config.keys.find(key);
    return found == config.keys.end() ? std::nullopt
                                      : std::optional{found->second};
}

/// Whether a configuration that may be in force instead handles it otherwise.
bool is_contested(const exchange& served)
{
    const auto other = served.relay.board.contested.load();
    if (!other)
    {
        return false;
    }
    const route* const matched =
        find_route(*other, host_of(served.request), path_of(served.request));
    const auto holder = matched == nullptr
                            ? std::nullopt
                            : holder_of(*other, *matched, served.facts.key);
    return !holder || holder->workspace != served.workspace ||
           matched->kind != served.matched->kind ||
           matched->resumable != served.matched->resumable ||
           matched->services != served.matched->services;
}

/// For the log; negative if there is none.
double to_log(std::optional<duration> time)
{
    return time ? std::chrono::duration<double, std::milli>{*time}.count()
                : -1.0;
}

std::uint64_t version_of(const traffic_config* config)
{
    return config == nullptr ? 0 : config->version;
}

/// Errors of the connection, as opposed to what was read from it.
bool is_disconnect(const io_error& error)
{
    return error.category() !=
               http::make_error_code(http::error::bad_method).category() ||
           error == http::error::end_of_stream ||
           error == http::error::partial_message;
}

} // namespace

caller_session::caller_session(
    relay_context& relay, tcp::socket accepted, request_source source)
    : relay{relay}
    , source{source}
    , caller{std::move(accepted)}
    , patience{
          relay.executor,
          relay.time,
          [this]
          {
              this->caller.close();
          }}
{
    io_error ignored;
    ignore(this->caller.socket.set_option(tcp::no_delay{true}, ignored));
    ++relay.open_connections;
}

caller_session::~caller_session()
{
    --this->relay.open_connections;
}

asio::awaitable<void> caller_session::run()
{
    while (true)
    {
        exchange next{this->relay, this->caller};
        next.is_from_peer = this->source == request_source::peer;
        this->is_idle = true;
        const read_end got = co_await this->read_request(next);
        this->is_idle = false;
        if (got == read_end::closed)
        {
            break;
        }
        if (got == read_end::request)
        {
            ++this->relay.active_requests;
            const absl::Cleanup ended = [this]
            {
                --this->relay.active_requests;
            };
            co_await this->serve(next);
        }
        if (got == read_end::rejected)
        {
            co_await this->discard_input();
            break;
        }
        if (next.must_close || this->caller.has_left() || this->relay.draining)
        {
            break;
        }
    }
    io_error ignored;
    ignore(this->caller.socket.shutdown(tcp::socket::shutdown_send, ignored));
    this->caller.close();
}

asio::awaitable<void> caller_session::discard_input()
{
    io_error error;
    ignore(this->caller.socket.shutdown(tcp::socket::shutdown_send, error));
    this->patience.set(this->relay.time.now() + discard_time);
    std::array<char, 8192> discarded{};
    std::size_t total = 0;
    while (!error && total < most_discarded_bytes)
    {
        const auto [failed, count] =
            co_await this->caller.socket.async_read_some(
                asio::buffer(discarded), as_result);
        error = failed;
        total += count;
    }
    this->patience.clear();
}

void caller_session::close_if_idle()
{
    if (this->is_idle)
    {
        this->caller.close();
    }
}

asio::awaitable<caller_session::read_end>
caller_session::read_request(exchange& next)
{
    if (this->caller.buffer.size() == 0)
    {
        const auto before = this->relay.board.traffic.load();
        this->patience.set(
            this->relay.time.now() + limits_of(before.get()).idle_time);
        const auto [error] = co_await this->caller.socket.async_wait(
            tcp::socket::wait_read, as_result);
        if (error)
        {
            co_return read_end::closed;
        }
        this->is_idle = false;
    }
    // Those in force now, which may have changed while the connection was idle.
    next.take_config();
    const caller_limits limits = limits_of(next.config.get());
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(
        std::min(limits.header.value(), most_header_bytes)));
    parser.body_limit(limits.body.value());
    this->patience.set(this->relay.time.now() + limits.header_time);
    auto [error, bytes] = co_await http::async_read_header(
        this->caller.socket, this->caller.buffer, parser, as_result);
    next.received_at = this->relay.time.now();
    bool has_room = true;
    if (!error)
    {
        this->patience.set(this->relay.time.now() + body_time);
        if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
        {
            http::response<http::empty_body> go_on{http::status::continue_, 11};
            co_await http::async_write(this->caller.socket, go_on, as_result);
        }
        while (!error && has_room && !parser.is_done())
        {
            std::tie(error, bytes) = co_await http::async_read_some(
                this->caller.socket, this->caller.buffer, parser, as_result);
            has_room = next.held_body.take(parser.get().body().size());
        }
    }
    this->patience.clear();
    if (!has_room)
    {
        next.held_body.take(0);
        this->relay.metrics.count(request_event::did_not_run);
        co_await this->reject(
            next, parser.get(), own_answer::overloaded, "no room for its body");
        co_return read_end::rejected;
    }
    if (error)
    {
        if (is_disconnect(error))
        {
            co_return read_end::closed;
        }
        this->relay.metrics.count(request_event::malformed_request);
        co_await this->reject(
            next,
            parser.get(),
            unless_stale(next, rejection_of(error, next.config != nullptr)),
            error.message());
        co_return read_end::rejected;
    }
    next.must_close = !parser.keep_alive();
    next.request = parser.release();
    use_origin_form(next.request);
    next.facts = this->relay.codec.read_request(next.request);
    co_return read_end::request;
}

asio::awaitable<void> caller_session::reject(
    exchange& next,
    const http_fields& header,
    own_answer why,
    const std::string& error)
{
    next.must_close = true;
    next.facts = this->relay.codec.read_request(header);
    log::event(
        log::level::warning,
        log::channel::api,
        "request_rejected",
        {{"request", next.facts.attempt.str()},
         {"reason", name_of(why)},
         {"error", error},
         {"config_version", version_of(next.config.get())},
         {"config_view_age_ms", to_log(next.config_age)}});
    co_await answer_ourselves(next, why);
}

std::optional<own_answer> caller_session::admit(exchange& next)
{
    if (next.is_from_peer)
    {
        ++this->relay.taken_for_peers;
        if (this->relay.draining)
        {
            return own_answer::stopping;
        }
        if (should_hand_back(next))
        {
            return own_answer::no_backend_server;
        }
    }
    next.take_config();
    if (!next.config)
    {
        return own_answer::not_configured;
    }
    next.matched =
        find_route(*next.config, host_of(next.request), path_of(next.request));
    if (next.matched == nullptr)
    {
        return unless_stale(next, own_answer::no_route);
    }
    const auto holder = holder_of(*next.config, *next.matched, next.facts.key);
    if (!holder)
    {
        this->relay.metrics.count(request_event::unauthenticated);
        return unless_stale(next, own_answer::unknown_key);
    }
    next.workspace = holder->workspace;
    next.rank = holder->rank;
    if (is_contested(next))
    {
        return own_answer::stale_configuration;
    }
    next.service = draw_service(*next.matched, this->relay.random);
    if (!next.is_from_peer)
    {
        // The instance that passes it on has counted it.
        this->relay.demand.on_arrival(
            next.service,
            next.urgency(),
            this->relay.ranked_services.contains(next.service) ? next.workspace
                                                               : workspace_id{},
            this->relay.time.now());
    }
    next.content = {fingerprint_of(next), next.facts.shared_parts};
    if (this->is_held_back(next))
    {
        this->relay.metrics.count(request_event::quarantine);
        return own_answer::quarantined;
    }
    return std::nullopt;
}

bool caller_session::is_held_back(exchange& next)
{
    crash_registry& crashes = this->relay.crashes;
    if (next.matched->kind != route_kind::stream)
    {
        return crashes.status_of(next.content.whole).level !=
               suspicion_level::normal;
    }
    // A crashed engine takes many streams with it that had no part in it, so
    // that suspicion alone holds none back.
    const auto [status, is_trial] = crashes.admit(next.content);
    next.is_trial = is_trial;
    if (status.level != suspicion_level::quarantined)
    {
        return false;
    }
    next.come_back_after = status.retry_after;
    return true;
}

asio::awaitable<void> caller_session::serve(exchange& next)
{
    const auto refusal = this->admit(next);
    duration limit = next.facts.time_limit.value_or(longest_request);
    if (next.matched != nullptr && next.matched->timeout > duration::zero())
    {
        limit = std::min(limit, next.matched->timeout);
    }
    next.deadline = next.received_at + limit;
    if (refusal)
    {
        if (*refusal == own_answer::not_configured && this->relay.store_is_lost)
        {
            next.advise_return();
        }
        co_await answer_ourselves(next, *refusal);
        this->log_end(next);
        co_return;
    }
    const auto end_copies = [&next]
    {
        next.end_copies();
    };
    this->caller.watch(end_copies);
    io_deadline limit_timer{
        this->relay.executor,
        this->relay.time,
        [&next, end_copies]
        {
            next.expired = true;
            end_copies();
        }};
    limit_timer.set(next.deadline);
    bool is_served = false;
    if (should_pass_on(next))
    {
        is_served = co_await serve_at_peer(next);
    }
    if (!is_served)
    {
        co_await this->serve_here(next);
    }
    this->caller.unwatch();
    this->log_end(next);
}

asio::awaitable<void> caller_session::serve_here(exchange& next)
{
    const local_demand::in_flight counted{
        this->relay.demand,
        service_rank_key(next.service.str(), next.urgency())};
    if (next.matched->kind == route_kind::stream)
    {
        co_await serve_stream(next);
    }
    else
    {
        co_await serve_plain(next);
    }
}

void caller_session::log_end(const exchange& served) const
{
    const auto now = this->relay.time.now();
    const bool good = served.last_status >= 200 && served.last_status < 300 &&
                      !served.must_close;
    const bool is_own = !served.own_reason.empty();
    log::event(
        good ? log::level::info : log::level::warning,
        log::channel::api,
        "request_ended",
        {{"request", served.facts.attempt.str()},
         {"route", served.matched == nullptr ? "" : served.matched->name},
         {"workspace", served.workspace.str()},
         {"status", served.last_status},
         {"attempts", served.attempts},
         {"server", served.last_server.str()},
         {"passed_to", served.passed_to.str()},
         {"from_peer", served.is_from_peer},
         {"caller_left", this->caller.has_left()},
         {"expired", served.expired},
         {"first_event_ms", to_log(served.first_event_after)},
         {"total_ms", to_log(now - served.received_at)},
         {"reason", served.own_reason},
         {"events", served.events},
         {"longest_gap_ms", to_log(served.longest_gap)},
         {"held_ms", to_log(served.held)},
         {"retry_after_ms", to_log(served.come_back_after)},
         {"config_version", version_of(served.config.get())},
         {"config_age_ms",
          served.config ? to_log(now - served.config->read_at) : -1.0},
         {"config_view_age_ms",
          to_log(is_own ? served.config_age : std::nullopt)},
         {"fleet_revision",
          change_number_of(this->relay.board.fleet.load()->version)},
         {"servers_view_age_ms",
          to_log(is_own ? this->relay.servers_age() : std::nullopt)}});
    if (served.first_event_after)
    {
        this->relay.metrics.observe(
            served.workspace,
            request_class::standard,
            request_time::first_token,
            *served.first_event_after);
    }
    this->relay.metrics.observe(
        served.workspace,
        request_class::standard,
        request_time::total,
        now - served.received_at);
    if (served.held > duration::zero())
    {
        this->relay.metrics.observe(
            served.workspace,
            request_class::standard,
            request_time::queue_wait,
            served.held);
    }
    const bool refused =
        served.last_status == refused_status && !served.own_reason.empty();
    if (refused && !served.service.empty() && !served.is_from_peer)
    {
        this->relay.demand.on_refusal(served.service, served.urgency(), now);
    }
    this->relay.metrics.count(
        good      ? request_event::completed
        : refused ? request_event::did_not_run
                  : request_event::failed);
}

} // namespace fireflysail
