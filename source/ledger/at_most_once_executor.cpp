#include "ledger/at_most_once_executor.hpp"

#include "common/error.hpp"
#include "ledger/attempt_updates.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

/// Answer to a send that finds another send of the same request in flight on
/// this instance. Empty while the other one is running.
std::optional<ledger_answer>
answer_from(const claim_request& request, const send_in_flight& other)
{
    if (other.content != request.content)
    {
        return key_reused{};
    }
    const auto* ended = std::get_if<claimant_finished>(&other.progress);
    if (ended == nullptr)
    {
        return std::nullopt;
    }
    if (ended->state == entry_state::completed)
    {
        return replayed_response{ended->response};
    }
    return ledger_unknown{unknown_reason::no_answer};
}

} // namespace

/// Executes the commands of one session and reports their results to it.
/// Returns true once the session has ended.
class at_most_once_executor::command_executor
{
public:
    command_executor(
        at_most_once_executor& owner,
        claim_session& session,
        const dispatch_function& dispatch,
        service_lookup* lookup)
        : owner{owner}
        , session{session}
        , dispatch{dispatch}
        , lookup{lookup}
    {
    }

    bool operator()(const create_claim& command)
    {
        this->session.on_written(this->owner.claims.create(
            command.entry, this->owner.call_deadline()));
        return false;
    }

    bool operator()(const take_over_claim& command)
    {
        this->session.on_written(this->owner.claims.replace(
            command.entry, command.expected, this->owner.call_deadline()));
        return false;
    }

    bool operator()(const read_claim& command)
    {
        this->session.on_read(
            this->owner.claims.read(command.key, this->owner.call_deadline()));
        return false;
    }

    bool operator()(const ask_claimant& command)
    {
        const bool own = command.claimant == this->owner.self;
        this->session.on_claimant(
            own ? this->owner.answer_inquiry(command.attempt)
                : this->owner.peers.ask(
                      command.claimant,
                      command.attempt,
                      this->owner.call_deadline()));
        return false;
    }

    bool operator()(const lookup_at_service& command)
    {
        if (this->lookup == nullptr)
        {
            this->session.on_lookup(lookup_inconclusive{});
            return false;
        }
        this->session.on_lookup(this->lookup->ask(
            this->key, command.attempt, this->owner.call_deadline()));
        return false;
    }

    bool operator()(const dispatch_request& command)
    {
        this->session.on_dispatched(this->dispatch(command.attempt));
        return false;
    }

    bool operator()(const record_outcome& command)
    {
        this->session.on_written(this->owner.claims.replace(
            command.entry, command.expected, this->owner.call_deadline()));
        return false;
    }

    bool operator()(const release_claim& command)
    {
        this->session.on_written(this->owner.claims.remove(
            command.key, command.expected, this->owner.call_deadline()));
        return false;
    }

    bool operator()(const wait_for& command)
    {
        this->owner.backoff_sleeper.wait(command.time);
        this->session.on_waited();
        return false;
    }

    bool operator()(const give_answer& command)
    {
        this->owner.finish(this->session, command);
        return true;
    }

private:
    at_most_once_executor& owner;
    claim_session& session;
    const dispatch_function& dispatch;
    service_lookup* const lookup;
    const claim_key key = session.request_key();
};

at_most_once_executor::at_most_once_executor(
    const ledger_options& options,
    const instance_id& self,
    claim_store& claims,
    claimant_inquiry& peers,
    sleeper& backoff_sleeper,
    const clock& time)
    : options{options}
    , self{self}
    , claims{claims}
    , peers{peers}
    , backoff_sleeper{backoff_sleeper}
    , time{time}
    , attempts{options.max_attempts}
{
}

ledger_answer at_most_once_executor::run(
    const claim_request& request,
    const dispatch_function& dispatch,
    service_lookup* lookup)
{
    claim_request bounded = request;
    bounded.deadline = std::min(
        request.deadline, this->time.now() + this->options.longest_request);
    const attempt_id attempt = this->new_attempt();
    const auto early = this->enter(bounded, attempt);
    const ledger_answer answer =
        early ? *early
              : this->run_session(
                    claim_session{
                        bounded, attempt, this->self, this->options.limits},
                    dispatch,
                    lookup);
    this->answer_counts[answer.index()].fetch_add(1, std::memory_order_relaxed);
    return answer;
}

claimant_answer at_most_once_executor::answer_inquiry(const attempt_id& attempt)
{
    const absl::MutexLock lock{&this->mutex};
    return this->attempts.answer_inquiry(attempt);
}

void at_most_once_executor::settle()
{
    std::vector<record_outcome> outcomes;
    {
        const absl::MutexLock lock{&this->mutex};
        outcomes = this->unrecorded;
    }
    // If the store does not accept one outcome, it will most likely not accept
    // the next one either. The rest is retried in the next round.
    const bool all_recorded = std::ranges::all_of(
        outcomes,
        [this](const record_outcome& outcome)
        {
            return this->retry_record(outcome);
        });
    if (!all_recorded)
    {
        return;
    }
    for (orphaned_claim& claim : this->take_due_cleanups())
    {
        claim.tries_left -= 1;
        if (this->remove_orphan(claim) || claim.tries_left <= 0)
        {
            continue;
        }
        claim.pause *= 2;
        claim.next_try = this->time.now() + claim.pause;
        const absl::MutexLock lock{&this->mutex};
        this->orphaned_claims.push_back(claim);
    }
}

ledger_counts at_most_once_executor::counts() const
{
    constexpr auto relaxed = std::memory_order_relaxed;
    const auto load = [](const std::atomic<std::uint64_t>& one)
    {
        return one.load(relaxed);
    };
    ledger_counts all;
    std::ranges::transform(this->answer_counts, all.answers.begin(), load);
    std::ranges::transform(this->command_counts, all.commands.begin(), load);
    all.cleanup_calls = this->cleanup_count.load(relaxed);
    all.record_retries = this->retry_count.load(relaxed);
    const absl::MutexLock lock{&this->mutex};
    all.unrecorded = this->unrecorded.size();
    all.in_flight = this->attempts.size();
    return all;
}

std::optional<ledger_answer> at_most_once_executor::enter(
    const claim_request& request, const attempt_id& attempt)
{
    duration wait = this->options.limits.first_wait;
    while (true)
    {
        enter_result entered;
        {
            const absl::MutexLock lock{&this->mutex};
            entered =
                this->attempts.enter(request.key, request.content, attempt);
        }
        if (std::holds_alternative<send_entered>(entered))
        {
            return std::nullopt;
        }
        if (std::holds_alternative<table_full>(entered))
        {
            return ledger_not_run{
                not_run_reason::overloaded, earlier_sends::not_known};
        }
        auto answer = answer_from(request, std::get<send_in_flight>(entered));
        if (answer)
        {
            return answer;
        }
        if (this->time.now() >= request.deadline)
        {
            return ledger_unknown{unknown_reason::in_progress};
        }
        this->backoff_sleeper.wait(wait);
        wait = std::min(wait * 2, this->options.limits.longest_wait);
    }
}

ledger_answer at_most_once_executor::run_session(
    claim_session session,
    const dispatch_function& dispatch,
    service_lookup* lookup)
{
    command_executor executor{*this, session, dispatch, lookup};
    while (true)
    {
        const session_command command = session.next(this->time.now());
        this->command_counts[command.index()].fetch_add(
            1, std::memory_order_relaxed);
        if (!this->update_attempts(session, command))
        {
            session.on_dispatch_denied();
            continue;
        }
        if (std::visit(executor, command))
        {
            return std::get<give_answer>(command).answer;
        }
    }
}

bool at_most_once_executor::update_attempts(
    const claim_session& session, const session_command& command)
{
    const absl::MutexLock lock{&this->mutex};
    return fireflysail::update_attempts(session, command, this->attempts);
}

void at_most_once_executor::finish(
    const claim_session& session, const give_answer& command)
{
    const absl::MutexLock lock{&this->mutex};
    if (session.unrecorded())
    {
        this->unrecorded.push_back(*session.unrecorded());
    }
    // Beyond this limit an orphaned claim stays until a resend takes it over,
    // after asking this instance.
    if (command.may_leave_claim &&
        this->orphaned_claims.size() < this->options.max_attempts)
    {
        const duration pause = this->options.cleanup_delay;
        this->orphaned_claims.push_back(
            {session.request_key(),
             session.id(),
             this->time.now() + pause,
             pause,
             this->options.cleanup_tries});
    }
}

time_point at_most_once_executor::call_deadline() const
{
    return this->time.now() + this->options.call_time;
}

bool at_most_once_executor::retry_record(const record_outcome& outcome)
{
    this->retry_count.fetch_add(1, std::memory_order_relaxed);
    const auto got = this->claims.replace(
        outcome.entry, outcome.expected, this->call_deadline());
    const bool settled =
        got || got.error() == errc::conflict || got.error() == errc::not_found;
    if (!settled)
    {
        return false;
    }
    const absl::MutexLock lock{&this->mutex};
    std::erase(this->unrecorded, outcome);
    this->attempts.forget(outcome.entry.attempt);
    return true;
}

bool at_most_once_executor::remove_orphan(const orphaned_claim& claim)
{
    this->cleanup_count.fetch_add(1, std::memory_order_relaxed);
    const auto found = this->claims.read(claim.key, this->call_deadline());
    if (!found)
    {
        return false;
    }
    const ledger_entry& entry = found.value().entry;
    if (entry.attempt != claim.attempt || entry.state != entry_state::claimed)
    {
        return true;
    }
    this->cleanup_count.fetch_add(1, std::memory_order_relaxed);
    const auto removed = this->claims.remove(
        claim.key, found.value().version, this->call_deadline());
    return removed.has_value();
}

std::vector<at_most_once_executor::orphaned_claim>
at_most_once_executor::take_due_cleanups()
{
    const time_point now = this->time.now();
    const absl::MutexLock lock{&this->mutex};
    const auto due = std::ranges::partition(
        this->orphaned_claims,
        [now](const orphaned_claim& claim)
        {
            return claim.next_try > now;
        });
    std::vector<orphaned_claim> taken{due.begin(), due.end()};
    this->orphaned_claims.erase(due.begin(), due.end());
    return taken;
}

attempt_id at_most_once_executor::new_attempt()
{
    return attempt_id{fmt::format(
        "{}.{}",
        this->self.str(),
        this->next_attempt.fetch_add(1, std::memory_order_relaxed))};
}

} // namespace fireflysail
