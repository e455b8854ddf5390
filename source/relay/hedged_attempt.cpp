#include "relay/hedged_attempt.hpp"

#include "common/guarded.hpp"
#include "common/log.hpp"
#include "routing/hedge_outcome.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Ends of copies interrupt the wait for them; this only bounds the timer.
constexpr duration longest_wait = 1h;

copy_state state_of(const attempt_result& result)
{
    switch (result.end)
    {
    case attempt_end::answered:
        return is_server_error(result.answer) ? copy_state::failed
                                              : copy_state::answered;
    case attempt_end::refused:
        return copy_state::refused;
    case attempt_end::unsent:
        return copy_state::unsent;
    case attempt_end::broken:
        return copy_state::broken;
    }
    return copy_state::broken;
}

/// The copies of one attempt. Its owner awaits run(), which ends after both
/// copies have.
class copy_pair
{
public:
    copy_pair(
        exchange& served,
        service_server server,
        const std::vector<server_id>& excluded,
        duration delay);

    copy_pair(const copy_pair&) = delete;
    copy_pair& operator=(const copy_pair&) = delete;

    asio::awaitable<std::vector<ended_copy>> run();

private:
    struct side
    {
        service_server server;
        request_copy* copy = nullptr;
        copy_state state = copy_state::unsent;
        /// Its coroutine has not ended.
        bool is_running = false;
        attempt_result result;
        std::exception_ptr failure;
    };

    void start(side& started);
    void cancel_all();
    asio::awaitable<void> run_side(side& started);
    void on_result(side& ended, attempt_result result);

    /// Sends the second copy if it becomes due and the limits allow it.
    asio::awaitable<void> hedge_when_due();

    /// Waits until the second copy is due; false if the first one ends before.
    asio::awaitable<bool> wait_until_due();

    /// Sends the second copy, or logs why not.
    asio::awaitable<void> try_second();

    const service_server* choose_second(const fleet_snapshot& fleet) const;

    std::optional<hedge_refusal> check_second(
        const fleet_snapshot& fleet, const service_server* server) const;

    void log_refusal(hedge_refusal why);

    /// Counts the second copy, or returns what was taken for it.
    void settle_second();

    /// The copy that was answered, or else all that were made.
    std::vector<ended_copy> take_ended();

    exchange& served;
    relay_context& relay;
    service_hedging& hedges;
    const std::vector<server_id>& excluded;
    const duration delay;
    const time_point began;
    asio::steady_timer changed;
    side first;
    side second;
    /// The side whose answer goes to the caller.
    side* answered = nullptr;
};

copy_pair::copy_pair(
    exchange& served,
    service_server server,
    const std::vector<server_id>& excluded,
    duration delay)
    : served{served}
    , relay{served.relay}
    , hedges{served.relay.hedges.of(served.service, served.relay.time.now())}
    , excluded{excluded}
    , delay{delay}
    , began{served.relay.time.now()}
    , changed{served.relay.executor}
{
    this->first.server = std::move(server);
    this->first.copy = &served.first;
}

void copy_pair::start(side& started)
{
    started.is_running = true;
    started.state = copy_state::running;
    try
    {
        asio::co_spawn(
            this->relay.executor,
            this->run_side(started),
            [this, &started](const std::exception_ptr& failure)
            {
                started.failure = failure;
                started.is_running = false;
                this->changed.cancel();
            });
    }
    catch (...)
    {
        // Nobody would report its end.
        started.is_running = false;
        throw;
    }
}

void copy_pair::cancel_all()
{
    for (const side* each : {&this->first, &this->second})
    {
        if (each->is_running)
        {
            each->copy->cancel();
        }
    }
}

asio::awaitable<void> copy_pair::run_side(side& started)
{
    try
    {
        auto result = co_await attempt_once(
            this->served, *started.copy, started.server, work_kind::idempotent);
        this->on_result(started, std::move(result));
    }
    catch (...)
    {
        // Its connection is gone.
        started.copy->connection = nullptr;
        started.state = copy_state::broken;
        throw;
    }
}

/// Runs as soon as the answer was read, so that at most one copy is answered
/// and the other one ends at once.
void copy_pair::on_result(side& ended, attempt_result result)
{
    const time_point now = this->relay.time.now();
    const auto sent_at = ended.copy->sent_at;
    const bool took_long =
        result.end == attempt_end::answered || ended.copy->is_cancelled;
    if (&ended == &this->first && sent_at && took_long)
    {
        this->hedges.policy.on_response(now - *sent_at);
    }
    if (ended.copy->is_cancelled)
    {
        ended.state = sent_at ? copy_state::broken : copy_state::unsent;
        return;
    }
    ended.state = state_of(result);
    ended.result = std::move(result);
    const auto verdict = combine(this->first.state, this->second.state);
    if (verdict == hedge_verdict::answered)
    {
        this->answered = &ended;
        side& other = &ended == &this->first ? this->second : this->first;
        if (other.is_running)
        {
            other.copy->cancel();
        }
    }
}

asio::awaitable<bool> copy_pair::wait_until_due()
{
    while (this->first.is_running)
    {
        const time_point now = this->relay.time.now();
        const auto sent_at = this->served.first.sent_at;
        if (sent_at && now >= *sent_at + this->delay)
        {
            co_return !this->served.is_over();
        }
        // While it is not sent, the time that it may take has not begun.
        const time_point due = sent_at.value_or(now) + this->delay;
        co_await pause_for(this->changed, due - now);
    }
    co_return false;
}

const service_server*
copy_pair::choose_second(const fleet_snapshot& fleet) const
{
    std::vector<server_id> without = this->excluded;
    without.push_back(this->first.server.id);
    return choose_server(
        this->served, fleet, std::move(without), held_back::all);
}

std::optional<hedge_refusal> copy_pair::check_second(
    const fleet_snapshot& fleet, const service_server* server) const
{
    const time_point now = this->relay.time.now();
    const server_balancer& servers = this->relay.servers;
    const hedge_policy& policy = this->hedges.policy;
    hedge_facts facts;
    facts.is_stopping = this->relay.draining ||
                        !this->relay.stop.may_send(
                            work_kind::idempotent, this->served.deadline, now);
    facts.is_suspect =
        this->relay.crashes.status_of(this->served.content.whole).level !=
        suspicion_level::normal;
    facts.attempts = this->served.attempts;
    facts.most_attempts = this->served.matched->most_attempts;
    facts.has_server = server != nullptr;
    facts.time_left = this->served.time_left();
    facts.first_rest = policy.expected_rest(
        now - this->served.first.sent_at.value_or(now), now);
    facts.service_has_room = servers.has_room(fleet, this->served.service, now);
    if (server != nullptr)
    {
        facts.server_has_room = servers.has_room(*server, now);
        const auto known = servers.response_time(server->id);
        facts.second_expected =
            known ? *known : policy.typical(now).value_or(duration::max());
    }
    return check_hedge(facts);
}

asio::awaitable<void> copy_pair::try_second()
{
    const auto fleet = this->relay.board.fleet.load();
    const service_server* const server = this->choose_second(*fleet);
    auto refusal = this->check_second(*fleet, server);
    if (refusal)
    {
        this->log_refusal(*refusal);
        co_return;
    }
    const bool has_room = co_await this->relay.rate_limits.acquire(server->id);
    if (!this->first.is_running || this->served.is_over())
    {
        co_return;
    }
    // Time has passed if the server's limit was asked for.
    const bool is_usable = has_room && may_be_sent_to(this->relay, server->id);
    refusal = is_usable ? this->check_second(*fleet, server)
                        : std::optional{hedge_refusal::no_server};
    if (!refusal)
    {
        refusal = take_hedge(
            budget_of(this->relay, this->served.service),
            this->hedges.limit,
            this->relay.time.now(),
            this->relay.random);
    }
    if (refusal)
    {
        this->log_refusal(*refusal);
        co_return;
    }
    this->second.server = *server;
    this->second.copy = &this->served.second.emplace(this->relay.answers);
    this->start(this->second);
}

void copy_pair::log_refusal(hedge_refusal why)
{
    this->relay.hedges.count_refusal(why);
    log::event(
        log::level::info,
        log::channel::routing,
        "hedge_not_sent",
        {{"request", this->served.facts.attempt.str()},
         {"service", this->served.service.str()},
         {"server", this->first.server.id.str()},
         {"reason", name_of(why)}});
}

void copy_pair::settle_second()
{
    const time_point now = this->relay.time.now();
    if (this->second.copy == nullptr)
    {
        return;
    }
    if (!this->second.copy->sent_at)
    {
        budget_of(this->relay, this->served.service).give_back(now);
        this->hedges.limit.give_back(now);
        return;
    }
    const bool was_ended =
        this->second.copy->is_cancelled || this->served.is_over();
    const hedge_end end = this->answered == &this->second ? hedge_end::won
                          : was_ended                     ? hedge_end::cancelled
                                                          : hedge_end::lost;
    this->relay.hedges.count_sent();
    this->relay.hedges.count_end(end);
    log::event(
        log::level::info,
        log::channel::routing,
        "hedge_ended",
        {{"request", this->served.facts.attempt.str()},
         {"service", this->served.service.str()},
         {"first", this->first.server.id.str()},
         {"second", this->second.server.id.str()},
         {"end", name_of(end)},
         {"sent_after_ms",
          to_seconds(*this->second.copy->sent_at - this->began) * 1000},
         {"total_ms", to_seconds(now - this->began) * 1000},
         {"share_used", this->hedges.limit.share_used(now)}});
}

asio::awaitable<void> copy_pair::hedge_when_due()
{
    const bool is_due = co_await this->wait_until_due();
    if (is_due)
    {
        co_await this->try_second();
    }
}

asio::awaitable<std::vector<ended_copy>> copy_pair::run()
{
    this->start(this->first);
    std::exception_ptr failure;
    try
    {
        co_await this->hedge_when_due();
    }
    catch (...)
    {
        // The copies refer to this object, so they end first.
        failure = std::current_exception();
        this->cancel_all();
    }
    while (this->first.is_running || this->second.is_running)
    {
        co_await pause_for(this->changed, longest_wait);
    }
    this->settle_second();
    for (const side* ended : {&this->first, &this->second})
    {
        failure = failure ? failure : ended->failure;
    }
    if (failure && this->answered == nullptr)
    {
        std::rethrow_exception(failure);
    }
    if (failure)
    {
        note_failed_step("hedge", failure);
    }
    co_return this->take_ended();
}

std::vector<ended_copy> copy_pair::take_ended()
{
    std::vector<ended_copy> ended;
    if (this->answered == &this->second)
    {
        this->served.first.held_answer.release();
    }
    else if (this->answered != nullptr)
    {
        this->served.second.reset();
    }
    for (side* const each : {&this->first, &this->second})
    {
        const bool counts = this->answered == nullptr ? each->copy != nullptr
                                                      : each == this->answered;
        if (counts)
        {
            ended.push_back({each->server, std::move(each->result)});
        }
    }
    return ended;
}

} // namespace

asio::awaitable<std::vector<ended_copy>> attempt_hedged(
    exchange& served,
    const service_server& server,
    work_kind work,
    const std::vector<server_id>& excluded)
{
    relay_context& relay = served.relay;
    std::vector<ended_copy> ended;
    std::optional<duration> delay;
    const time_point began = relay.time.now();
    // Once an attempt has failed, retries go first.
    const bool may_hedge = relay.hedges.is_enabled() &&
                           work == work_kind::idempotent &&
                           served.attempts == 0;
    if (may_hedge)
    {
        delay =
            relay.hedges.of(served.service, began).policy.delay(work, began);
    }
    if (delay)
    {
        copy_pair copies{served, server, excluded, *delay};
        ended = co_await copies.run();
        co_return ended;
    }
    auto result = co_await attempt_once(served, served.first, server, work);
    if (may_hedge && result.end == attempt_end::answered)
    {
        relay.hedges.of(served.service, began)
            .policy.on_response(relay.time.now() - *served.first.sent_at);
    }
    ended.push_back({server, std::move(result)});
    co_return ended;
}

} // namespace fireflysail
