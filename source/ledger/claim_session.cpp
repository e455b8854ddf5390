#include "ledger/claim_session.hpp"

#include "common/error.hpp"
#include "common/invariant.hpp"

#include <algorithm>

namespace fireflysail
{

claim_session::claim_session(
    const claim_request& request,
    const attempt_id& attempt,
    const instance_id& self,
    const claim_limits& limits)
    : key{request.key}
    , content{request.content}
    , deadline{request.deadline}
    , attempt{attempt}
    , self{self}
    , limits{limits}
    , calls_left{limits.store_calls}
    , record_calls_left{limits.record_calls}
    , wait{limits.first_wait}
{
}

session_command claim_session::next(time_point now)
{
    if (this->final_kind == answer_kind::undecided && !this->dispatched)
    {
        if (this->past_deadline(now))
        {
            this->give_up(
                not_run_reason::deadline,
                this->seen_running ? unknown_reason::in_progress
                                   : unknown_reason::ledger_unreadable);
        }
        else if (this->out_of_calls())
        {
            this->give_up(
                not_run_reason::claim_unconfirmed,
                unknown_reason::ledger_unreadable);
        }
    }
    switch (this->current_step)
    {
    case step::create:
        return create_claim{this->own_entry(entry_state::claimed)};
    case step::take_over:
        return take_over_claim{
            this->own_entry(entry_state::claimed), this->other->version};
    case step::read:
        return read_claim{this->key};
    case step::ask:
        return ask_claimant{
            this->other->entry.claimant, this->other->entry.attempt};
    case step::lookup:
        return lookup_at_service{
            this->dispatched ? this->attempt : this->other->entry.attempt};
    case step::dispatch:
        return dispatch_request{this->attempt};
    case step::record:
        return *this->outcome;
    case step::release:
        return release_claim{this->key, this->own_version};
    case step::wait:
        return wait_for{this->wait};
    case step::answer:
        break;
    }
    return give_answer{this->final_answer(), this->may_leave_claim};
}

void claim_session::on_written(const result<revision>& reply)
{
    switch (this->current_step)
    {
    case step::create:
    case step::take_over:
        this->calls_left -= 1;
        this->on_claim_written(reply);
        return;
    case step::record:
        this->on_record_written(reply);
        return;
    case step::release:
        this->on_released(reply);
        return;
    default:
        fail_invariant(
            "unexpected result of a write", std::source_location::current());
    }
}

void claim_session::on_read(const result<versioned_entry>& reply)
{
    ensure(this->current_step == step::read, "unexpected result of a read");
    this->calls_left -= 1;
    if (reply)
    {
        this->on_found(reply.value());
        return;
    }
    if (reply.error() != errc::not_found)
    {
        if (reply.error() == errc::malformed)
        {
            // An entry exists under the key, but cannot be decoded.
            this->others = other_sends::one_claimed;
        }
        this->give_up(
            not_run_reason::claim_unconfirmed,
            unknown_reason::ledger_unreadable);
        return;
    }
    // The read may be older than the conflict that led to it, so it does not
    // show that no other send holds a claim. Only a successful create does.
    this->other.reset();
    this->claim_with(step::create);
}

void claim_session::on_claimant(const claimant_answer& reply)
{
    ensure(this->current_step == step::ask, "unexpected result of an inquiry");
    if (const auto* disowned = std::get_if<claimant_disowned>(&reply))
    {
        this->on_other_disowned(disowned->never_dispatched);
        return;
    }
    if (const auto* ended = std::get_if<claimant_finished>(&reply))
    {
        this->on_other_ended(ended->state, ended->response);
        return;
    }
    if (std::holds_alternative<claimant_running>(reply))
    {
        this->seen_running = true;
        this->current_step = step::wait;
        return;
    }
    this->current_step = step::lookup;
}

void claim_session::on_lookup(const lookup_answer& reply)
{
    ensure(this->current_step == step::lookup, "unexpected result of a lookup");
    if (this->dispatched)
    {
        this->on_own_lookup(reply);
    }
    else
    {
        this->on_other_lookup(reply);
    }
}

void claim_session::on_dispatched(const dispatch_result& reply)
{
    ensure(
        this->current_step == step::dispatch,
        "unexpected result of a dispatch");
    ensure(!this->dispatched, "an attempt is dispatched at most once");
    this->dispatched = true;
    if (const auto* completed = std::get_if<service_completed>(&reply))
    {
        this->response = completed->response;
        this->record(
            this->own_entry(entry_state::completed),
            this->own_version,
            answer_kind::fresh);
        return;
    }
    if (std::holds_alternative<service_refused>(reply))
    {
        this->answer_not_run(not_run_reason::service_refused);
        return;
    }
    this->current_step = step::lookup;
}

void claim_session::on_dispatch_denied()
{
    ensure(
        this->current_step == step::dispatch,
        "unexpected result of a dispatch");
    this->on_taken_over();
}

void claim_session::on_waited()
{
    ensure(this->current_step == step::wait, "unexpected end of a wait");
    this->wait = std::min(this->wait * 2, this->limits.longest_wait);
    this->current_step = step::ask;
}

const attempt_id& claim_session::id() const
{
    return this->attempt;
}

const claim_key& claim_session::request_key() const
{
    return this->key;
}

const std::optional<record_outcome>& claim_session::unrecorded() const
{
    return this->outcome;
}

bool claim_session::past_deadline(time_point now) const
{
    return now >= this->deadline;
}

bool claim_session::out_of_calls() const
{
    const bool calls_store = this->current_step == step::create ||
                             this->current_step == step::take_over ||
                             this->current_step == step::read;
    return calls_store && this->calls_left <= 0;
}

void claim_session::on_claim_written(const result<revision>& reply)
{
    if (reply)
    {
        this->on_claimed(reply.value());
        return;
    }
    const std::error_code error = reply.error();
    if (error == errc::conflict || error == errc::not_found)
    {
        // The conflict may be with this attempt's own earlier write. The read
        // tells.
        this->contested = true;
        this->others = other_sends::one_claimed;
        this->current_step = step::read;
        return;
    }
    if (error == errc::unavailable || error == errc::over_budget)
    {
        this->give_up(
            error == errc::over_budget ? not_run_reason::over_budget
                                       : not_run_reason::store_unavailable,
            unknown_reason::ledger_unreadable);
        return;
    }
    this->may_leave_claim = true;
    this->current_step = step::read;
}

void claim_session::on_record_written(const result<revision>& reply)
{
    // Others overwrite a dispatched claim only to record the same outcome, so a
    // conflict also means that the outcome is recorded.
    const bool settled = reply || reply.error() == errc::conflict ||
                         reply.error() == errc::not_found;
    this->record_calls_left -= 1;
    if (settled)
    {
        this->outcome.reset();
    }
    if (settled || this->record_calls_left <= 0)
    {
        this->current_step = step::answer;
    }
}

void claim_session::on_released(const result<revision>& reply)
{
    const bool changed_hands =
        !reply && !this->dispatched &&
        (reply.error() == errc::conflict || reply.error() == errc::not_found);
    if (changed_hands)
    {
        this->on_taken_over();
        return;
    }
    // An orphaned claim can be taken over once the claimant has disowned it.
    this->may_leave_claim = !reply;
    if (!reply && !this->dispatched && this->contested)
    {
        this->answer_unknown(unknown_reason::ledger_unreadable);
        return;
    }
    this->current_step = step::answer;
}

void claim_session::on_taken_over()
{
    // This attempt was disowned in reply to another send, which may now run the
    // request.
    this->may_dispatch = false;
    this->contested = true;
    this->own_version = revision{};
    this->others = other_sends::one_claimed;
    this->final_kind = answer_kind::undecided;
    this->current_step = step::read;
}

void claim_session::on_claimed(revision version)
{
    this->own_version = version;
    this->others = other_sends::none_ran;
    this->may_leave_claim = false;
    this->current_step = step::dispatch;
}

void claim_session::on_found(const versioned_entry& found)
{
    if (found.entry.content != this->content)
    {
        this->final_kind = answer_kind::reused;
        this->current_step = step::answer;
        return;
    }
    if (found.entry.attempt != this->attempt)
    {
        this->on_other_claim(found);
        return;
    }
    if (!this->may_dispatch)
    {
        // The read may be stale. Only a successful removal of this version
        // shows that the other send did not take the claim over.
        this->others = other_sends::none_ran;
        this->own_version = found.version;
        this->answer_not_run(not_run_reason::taken_over);
        return;
    }
    this->on_claimed(found.version);
}

void claim_session::on_other_claim(const versioned_entry& found)
{
    this->other = found;
    this->others = other_sends::one_claimed;
    if (found.entry.state != entry_state::claimed)
    {
        this->on_other_ended(found.entry.state, found.entry.response);
        return;
    }
    if (found.entry.attempt == this->disowned)
    {
        this->claim_with(step::take_over);
        return;
    }
    this->current_step = step::ask;
}

void claim_session::on_other_ended(
    entry_state state, const stored_response& answered)
{
    if (state == entry_state::completed)
    {
        this->replay(answered);
        return;
    }
    this->unknown = unknown_reason::no_answer;
    this->other->entry.state = entry_state::unknown;
    this->current_step = step::lookup;
}

void claim_session::on_own_lookup(const lookup_answer& reply)
{
    if (const auto* ran = std::get_if<lookup_ran>(&reply))
    {
        this->response = ran->response;
        this->record(
            this->own_entry(entry_state::completed),
            this->own_version,
            answer_kind::fresh);
        return;
    }
    if (std::holds_alternative<lookup_never_runs>(reply))
    {
        this->answer_not_run(not_run_reason::service_refused);
        return;
    }
    this->unknown = unknown_reason::no_answer;
    this->record(
        this->own_entry(entry_state::unknown),
        this->own_version,
        answer_kind::unknown);
}

void claim_session::on_other_lookup(const lookup_answer& reply)
{
    if (const auto* ran = std::get_if<lookup_ran>(&reply))
    {
        ledger_entry entry = this->other->entry;
        entry.state = entry_state::completed;
        entry.response = ran->response;
        this->response = ran->response;
        this->record(entry, this->other->version, answer_kind::replayed);
        return;
    }
    if (std::holds_alternative<lookup_never_runs>(reply))
    {
        // The answer covers this attempt only. The read that showed it may be
        // older than the claim of a third send.
        this->on_other_disowned(false);
        return;
    }
    this->answer_unknown(
        this->other->entry.state == entry_state::unknown
            ? unknown_reason::no_answer
            : unknown_reason::claimant_unreachable);
}

void claim_session::on_other_disowned(bool never_dispatched)
{
    this->disowned = this->other->entry.attempt;
    if (never_dispatched)
    {
        this->others = other_sends::none_ran;
    }
    if (this->seen_running)
    {
        // The attempt was seen running and has ended since, so its outcome is
        // most likely in the store.
        this->current_step = step::read;
        return;
    }
    this->claim_with(step::take_over);
}

void claim_session::claim_with(step how)
{
    if (!this->may_dispatch)
    {
        this->give_up(
            not_run_reason::taken_over, unknown_reason::ledger_unreadable);
        return;
    }
    this->current_step = how;
}

void claim_session::give_up(not_run_reason reason, unknown_reason otherwise)
{
    if (this->others == other_sends::one_claimed)
    {
        this->answer_unknown(otherwise);
        return;
    }
    this->answer_not_run(reason);
}

void claim_session::answer_not_run(not_run_reason reason)
{
    this->not_run = reason;
    this->final_kind = answer_kind::not_run;
    const bool holds_claim = this->own_version != revision{};
    this->current_step = holds_claim ? step::release : step::answer;
}

void claim_session::answer_unknown(unknown_reason reason)
{
    this->unknown = reason;
    this->final_kind = answer_kind::unknown;
    this->current_step = step::answer;
}

void claim_session::replay(const stored_response& answered)
{
    this->response = answered;
    this->final_kind = answer_kind::replayed;
    this->current_step = step::answer;
}

void claim_session::record(
    const ledger_entry& entry, revision expected, answer_kind as)
{
    this->outcome = record_outcome{entry, expected};
    this->final_kind = as;
    this->current_step = step::record;
}

ledger_entry claim_session::own_entry(entry_state state) const
{
    ledger_entry entry;
    entry.key = this->key;
    entry.content = this->content;
    entry.attempt = this->attempt;
    entry.claimant = this->self;
    entry.state = state;
    if (state == entry_state::completed)
    {
        entry.response = this->response;
    }
    return entry;
}

ledger_answer claim_session::final_answer() const
{
    switch (this->final_kind)
    {
    case answer_kind::fresh:
        return fresh_response{this->response, !this->outcome.has_value()};
    case answer_kind::replayed:
        return replayed_response{this->response};
    case answer_kind::not_run:
        return ledger_not_run{
            this->not_run,
            this->others == other_sends::none_ran ? earlier_sends::none_ran
                                                  : earlier_sends::not_known};
    case answer_kind::unknown:
        return ledger_unknown{this->unknown};
    case answer_kind::reused:
        return key_reused{};
    case answer_kind::undecided:
        break;
    }
    fail_invariant(
        "the final answer has been decided", std::source_location::current());
}

} // namespace fireflysail
