#include "serving/service_runner.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <thread>

namespace fireflysail
{

namespace
{

constexpr std::chrono::milliseconds wait_slice{50};

// A resend sooner than this would meet the same store.
constexpr std::chrono::milliseconds resend_advice{500};

bool is_usable(
    const service_server& server,
    const service_id& service,
    const std::vector<server_id>& avoid)
{
    return server.service == service && server.healthy &&
           accepts_new_work(server.mark) &&
           std::ranges::find(avoid, server.id) == avoid.end();
}

attempt_failure explain(service_failure failure, const server_id& server)
{
    if (failure == service_failure::not_sent)
    {
        return {failure_kind::connect_failed, server, false};
    }
    return {failure_kind::connection_reset, server, true};
}

fingerprint fingerprint_of(const service_call& call)
{
    auto hash = stable_hash(call.service.str());
    hash = stable_hash(call.request.method, hash);
    hash = stable_hash(call.request.target, hash);
    return fingerprint{stable_hash(call.request.body, hash)};
}

service_answer translate(const fresh_response& answer)
{
    const auto& kept = answer.response;
    return service_response{kept.status, kept.content_type, kept.body};
}

service_answer translate(const replayed_response& answer)
{
    const auto& kept = answer.response;
    if (!kept.complete)
    {
        return outcome{failed{failed_reason::answer_not_kept}};
    }
    return service_response{kept.status, kept.content_type, kept.body};
}

did_not_run_reason reason_of(not_run_reason reason)
{
    switch (reason)
    {
    case not_run_reason::deadline:
        return did_not_run_reason::deadline;
    case not_run_reason::overloaded:
        return did_not_run_reason::overloaded;
    case not_run_reason::service_refused:
        return did_not_run_reason::no_backend_server;
    case not_run_reason::store_unavailable:
    case not_run_reason::over_budget:
    case not_run_reason::claim_unconfirmed:
    case not_run_reason::taken_over:
        break;
    }
    return did_not_run_reason::claim_unconfirmed;
}

service_answer translate(const ledger_not_run& answer)
{
    // While the ledger cannot be read, an earlier send with the same key may
    // have run: only the reason that says so is true then.
    const auto reason = answer.earlier == earlier_sends::none_ran
                            ? reason_of(answer.reason)
                            : did_not_run_reason::claim_unconfirmed;
    return outcome{did_not_run{reason, resend_advice}};
}

service_answer translate(const ledger_unknown&)
{
    return outcome{outcome_unknown{}};
}

service_answer translate(const key_reused&)
{
    return key_conflict{};
}

} // namespace

service_runner::service_runner(
    const clock& time,
    const snapshot_cell<fleet_snapshot>& fleet,
    service_api& services,
    recovery_pool& recoveries,
    at_most_once_executor& ledger)
    : time{time}
    , fleet{fleet}
    , services{services}
    , recoveries{recoveries}
    , ledger{ledger}
    , random{std::random_device{}()}
{
}

std::optional<service_runner::target> service_runner::pick(
    const service_id& service, const std::vector<server_id>& avoid)
{
    const auto now = this->fleet.load();
    std::vector<const service_server*> usable;
    for (const auto& server : now->services)
    {
        if (is_usable(server, service, avoid))
        {
            usable.push_back(&server);
        }
    }
    if (usable.empty())
    {
        return std::nullopt;
    }
    const absl::MutexLock lock{&this->mutex};
    std::ranges::shuffle(usable, this->random);
    const auto* chosen = *std::ranges::min_element(
        usable,
        {},
        [this](const service_server* server)
        {
            this->mutex.AssertHeld();
            const auto found = this->in_flight.find(server->id);
            return found == this->in_flight.end() ? 0 : found->second;
        });
    return target{chosen->id, chosen->address};
}

service_result service_runner::send(const service_call& call, const target& to)
{
    {
        const absl::MutexLock lock{&this->mutex};
        ++this->in_flight[to.id];
    }
    auto result = this->services.call(
        to.address, call.request, call.deadline - this->time.now());
    const absl::MutexLock lock{&this->mutex};
    if (--this->in_flight[to.id] == 0)
    {
        this->in_flight.erase(to.id);
    }
    return result;
}

service_answer
service_runner::run(const service_call& call, const caller_presence& present)
{
    if (call.idempotent)
    {
        return this->run_idempotent(call, present);
    }
    return call.request.key ? this->run_claimed(call) : this->send_once(call);
}

dispatch_result service_runner::dispatch(const service_call& call)
{
    const auto answer = this->send_once(call);
    if (const auto* response = std::get_if<service_response>(&answer))
    {
        return service_completed{
            {response->status, response->content_type, response->body}};
    }
    const auto& how = std::get<outcome>(answer);
    if (std::holds_alternative<did_not_run>(how))
    {
        return service_refused{};
    }
    return service_no_answer{};
}

service_answer service_runner::run_claimed(const service_call& call)
{
    const claim_request request{
        {call.workspace, *call.request.key},
        fingerprint_of(call),
        call.deadline};
    const auto answer = this->ledger.run(
        request,
        [this, &call](const attempt_id&)
        {
            return this->dispatch(call);
        });
    return std::visit(
        [](const auto& each)
        {
            return translate(each);
        },
        answer);
}

service_answer service_runner::send_once(const service_call& call)
{
    std::vector<server_id> avoid;
    while (const auto to = this->pick(call.service, avoid))
    {
        const auto result = this->send(call, *to);
        if (const auto* response = std::get_if<service_response>(&result))
        {
            return *response;
        }
        if (std::get<service_failure>(result) == service_failure::no_answer)
        {
            return outcome{outcome_unknown{}};
        }
        avoid.push_back(to->id);
    }
    return outcome{did_not_run{did_not_run_reason::no_backend_server, {}}};
}

service_answer service_runner::run_idempotent(
    const service_call& call, const caller_presence& present)
{
    request_recovery recovery{{}, work_kind::idempotent, call.deadline};
    std::vector<server_id> avoid;
    std::optional<target> to;
    while (true)
    {
        to = to ? to : this->pick(call.service, avoid);
        attempt_failure failure{failure_kind::connect_failed, {}, false};
        recovery_view view;
        view.replacement_exists = to.has_value();
        if (to)
        {
            const auto result = this->send(call, *to);
            if (const auto* response = std::get_if<service_response>(&result))
            {
                this->recoveries.credit();
                return *response;
            }
            failure = explain(std::get<service_failure>(result), to->id);
            avoid.push_back(to->id);
            view.replacement_exists =
                this->pick(call.service, avoid).has_value();
        }
        auto next = this->recoveries.next_step(recovery, failure, view);
        while (const auto* pause = std::get_if<wait_until>(&next))
        {
            while (this->time.now() < pause->when)
            {
                if (!present())
                {
                    return outcome{failed{failed_reason::cancelled}};
                }
                std::this_thread::sleep_for(std::min<duration>(
                    pause->when - this->time.now(), wait_slice));
            }
            view.replacement_exists =
                this->pick(call.service, avoid).has_value();
            if (!view.replacement_exists)
            {
                // A server that failed once may be back by now.
                avoid.clear();
                view.replacement_exists =
                    this->pick(call.service, avoid).has_value();
            }
            next = this->recoveries.next_step(recovery, failure, view);
        }
        if (const auto* end = std::get_if<give_up>(&next))
        {
            return end->how;
        }
        if (!std::holds_alternative<reconnect_same_server>(next))
        {
            to.reset();
        }
    }
}

std::size_t service_runner::running() const
{
    const absl::MutexLock lock{&this->mutex};
    return std::accumulate(
        this->in_flight.begin(),
        this->in_flight.end(),
        std::size_t{0},
        [](std::size_t sum, const auto& server)
        {
            return sum + static_cast<std::size_t>(server.second);
        });
}

} // namespace fireflysail
