#include "relay/exchange.hpp"

#include "relay/hedged_attempt.hpp"
#include "relay/peer_exchange.hpp"
#include "relay/plain_attempt.hpp"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace fireflysail
{

namespace
{

/// Servers tried without a request having gone out.
constexpr std::uint32_t most_unsent = 4;

std::vector<server_id>
servers_of(const fleet_snapshot& fleet, const service_id& service)
{
    std::vector<server_id> servers;
    for (const service_server& server : fleet.services)
    {
        if (server.service == service)
        {
            servers.push_back(server.id);
        }
    }
    return servers;
}

/// Whether another server may be asked after this end.
bool may_repeat(attempt_end end, work_kind work)
{
    const bool nothing_ran =
        end == attempt_end::unsent || end == attempt_end::refused;
    return nothing_ran || work == work_kind::idempotent;
}

/// What the attempts of one request have come to.
struct plain_progress
{
    std::vector<server_id> excluded;
    std::uint32_t unsent = 0;
    bool refused = false;
    bool may_have_run = false;
    /// The latest whole answer, kept while another server may do better.
    std::optional<http_response> answered;
};

/// Takes in a copy that ended. Returns whether another server may be asked.
asio::awaitable<bool> take_in(
    exchange& served, plain_progress& state, ended_copy& copy, work_kind work)
{
    relay_context& relay = served.relay;
    attempt_result& result = copy.result;
    if (result.end == attempt_end::answered)
    {
        served.last_server = copy.server.id;
        state.answered = std::move(result.answer);
        const bool may_improve =
            work == work_kind::idempotent && is_server_error(*state.answered);
        if (!may_improve)
        {
            co_return false;
        }
    }
    state.excluded.push_back(copy.server.id);
    state.unsent += result.end == attempt_end::unsent ? 1 : 0;
    state.refused = state.refused || result.end == attempt_end::refused;
    state.may_have_run =
        state.may_have_run || result.end == attempt_end::broken;
    const bool no_answer =
        result.end == attempt_end::broken && !result.has_header;
    bool crashed = false;
    if (no_answer && !served.is_over())
    {
        crashed =
            co_await is_crashed(served, copy.server.id, copy.server.address);
    }
    if (crashed)
    {
        relay.crashes.on_crash(copy.server.id, served.content.whole);
    }
    co_return !crashed && may_repeat(result.end, work);
}

} // namespace

asio::awaitable<void> serve_plain(exchange& served)
{
    relay_context& relay = served.relay;
    const work_kind work = work_of(*served.matched);
    retry_budget& budget = budget_of(relay, served.service);
    plain_progress state;
    bool is_stopping = false;
    duration limit_waited{};
    asio::steady_timer pause{relay.executor};
    budget.credit(relay.time.now());
    relay.hedges.on_request(served.service, work, relay.time.now());
    while (!served.is_over() && !should_pass_on(served))
    {
        is_stopping =
            !relay.stop.may_send(work, served.deadline, relay.time.now());
        if (is_stopping)
        {
            break;
        }
        const auto fleet = relay.board.fleet.load();
        const auto choose = [&](held_back left_out)
        {
            return choose_server(served, *fleet, state.excluded, left_out);
        };
        const service_server* const server = choose(held_back::all);
        if (server == nullptr && choose(held_back::limited) != nullptr)
        {
            // All that would have room want no request.
            state.refused = true;
            break;
        }
        if (server == nullptr && choose(held_back::none) != nullptr)
        {
            const auto [wait] = wait_for_limit(served, limit_waited, false);
            if (!wait)
            {
                state.refused = true;
                break;
            }
            limit_waited += *wait;
            served.held += *wait;
            co_await pause_for(pause, *wait);
            continue;
        }
        const bool is_repeat = served.attempts > 0;
        if (server == nullptr ||
            served.attempts >= served.matched->most_attempts ||
            state.unsent >= most_unsent ||
            (is_repeat && !budget.try_take(relay.time.now())))
        {
            break;
        }
        const bool has_room = co_await relay.rate_limits.acquire(server->id);
        if (!has_room || served.is_over() || !may_be_sent_to(relay, server->id))
        {
            continue;
        }
        auto ended =
            co_await attempt_hedged(served, *server, work, state.excluded);
        bool goes_on = true;
        for (ended_copy& copy : ended)
        {
            const bool may_go_on = co_await take_in(served, state, copy, work);
            goes_on = goes_on && may_go_on;
        }
        if (!goes_on)
        {
            break;
        }
    }
    if (state.answered && !served.is_over())
    {
        co_await deliver(served, *state.answered);
        co_return;
    }
    const bool promise = !state.may_have_run;
    const bool may_run_elsewhere =
        promise || (work == work_kind::idempotent &&
                    served.attempts < served.matched->most_attempts);
    if (may_run_elsewhere && !is_stopping && !state.refused)
    {
        const bool is_served = co_await pass_on_if_cut_off(served);
        if (is_served)
        {
            co_return;
        }
    }
    if (promise && state.refused)
    {
        advise_after_backoff(
            served, servers_of(*relay.board.fleet.load(), served.service));
    }
    if (served.expired)
    {
        co_await answer_ourselves(
            served,
            promise && served.attempts == 0 ? own_answer::timed_out_unsent
                                            : own_answer::timed_out);
        co_return;
    }
    co_await answer_ourselves(
        served,
        !promise        ? own_answer::unknown_outcome
        : is_stopping   ? own_answer::stopping
        : state.refused ? own_answer::overloaded
                        : own_answer::no_backend_server);
}

} // namespace fireflysail
