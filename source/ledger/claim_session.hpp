#pragma once

#include "common/result.hpp"
#include "ledger/claim_messages.hpp"
#include "ledger/ledger_entry.hpp"

#include <optional>
#include <variant>

namespace fireflysail
{

struct claim_limits
{
    /// Maximum number of store calls of a send before it is dispatched.
    int store_calls = 5;
    /// Maximum number of calls to record the outcome. After that the background
    /// retry takes over.
    int record_calls = 2;
    /// Delay before asking again about a send that is still running. Doubles
    /// each time, up to `longest_wait`.
    duration first_wait{std::chrono::milliseconds{50}};
    duration longest_wait{std::chrono::seconds{1}};

    auto operator<=>(const claim_limits&) const = default;
};

// Commands: the next operation of a send.

struct create_claim
{
    ledger_entry entry;
};

/// Replaces the claim of an attempt that can no longer be dispatched.
struct take_over_claim
{
    ledger_entry entry;
    revision expected;
};

struct read_claim
{
    claim_key key;
};

struct ask_claimant
{
    instance_id claimant;
    attempt_id attempt;
};

struct lookup_at_service
{
    attempt_id attempt;
};

/// Executed only if the attempt table still allows it. The check and the mark
/// as dispatched must be one atomic step.
struct dispatch_request
{
    attempt_id attempt;
};

struct record_outcome
{
    ledger_entry entry;
    revision expected;

    auto operator<=>(const record_outcome&) const = default;
};

struct release_claim
{
    claim_key key;
    revision expected;
};

struct wait_for
{
    duration time{0};
};

struct give_answer
{
    ledger_answer answer;
    /// A write of this attempt may still take effect and leave an orphaned
    /// claim.
    bool may_leave_claim = false;
};

using session_command = std::variant<
    create_claim,
    take_over_claim,
    read_claim,
    ask_claimant,
    lookup_at_service,
    dispatch_request,
    record_outcome,
    release_claim,
    wait_for,
    give_answer>;

/// State machine of one send of a request, from claim to answer. `next` returns
/// the command to execute, and the matching `on_…` function takes its result.
/// Does no I/O. docs/design/ledger.md describes the states and the effect of a
/// crash in each.
class claim_session
{
public:
    claim_session(
        const claim_request& request,
        const attempt_id& attempt,
        const instance_id& self,
        const claim_limits& limits);

    /// Must be called before each `on_…` call. The deadline is checked only
    /// here.
    session_command next(time_point now);

    /// Result of create_claim, take_over_claim, record_outcome or
    /// release_claim.
    void on_written(const result<revision>& reply);

    /// Result of read_claim.
    void on_read(const result<versioned_entry>& reply);

    /// Result of ask_claimant.
    void on_claimant(const claimant_answer& reply);

    /// Result of lookup_at_service.
    void on_lookup(const lookup_answer& reply);

    /// Result of dispatch_request.
    void on_dispatched(const dispatch_result& reply);

    /// Called instead of executing dispatch_request if the attempt was disowned
    /// in the meantime.
    void on_dispatch_denied();

    /// The delay of wait_for has passed.
    void on_waited();

    const attempt_id& id() const;

    const claim_key& request_key() const;

    /// The entry to write, if the outcome has not been recorded yet.
    const std::optional<record_outcome>& unrecorded() const;

    /// Compares the complete state: equal sessions behave identically.
    auto operator<=>(const claim_session&) const = default;

private:
    enum class step
    {
        create,
        take_over,
        read,
        ask,
        lookup,
        dispatch,
        record,
        release,
        wait,
        answer,
    };

    /// What is known about other sends of the request.
    enum class other_sends
    {
        not_known,
        none_ran,
        /// Another send holds a claim, and its outcome is not known.
        one_claimed,
    };

    /// Kind of the final answer.
    enum class answer_kind
    {
        undecided,
        fresh,
        replayed,
        not_run,
        unknown,
        reused,
    };

    bool past_deadline(time_point now) const;
    bool out_of_calls() const;
    void on_claim_written(const result<revision>& reply);
    void on_record_written(const result<revision>& reply);
    void on_released(const result<revision>& reply);
    void on_taken_over();
    void on_claimed(revision version);
    void on_found(const versioned_entry& found);
    void on_other_claim(const versioned_entry& found);
    void on_other_ended(entry_state state, const stored_response& answered);
    void on_own_lookup(const lookup_answer& reply);
    void on_other_lookup(const lookup_answer& reply);
    void on_other_disowned(bool never_dispatched);
    void claim_with(step how);
    void give_up(not_run_reason reason, unknown_reason otherwise);
    void answer_not_run(not_run_reason reason);
    void answer_unknown(unknown_reason reason);
    void replay(const stored_response& answered);
    void record(const ledger_entry& entry, revision expected, answer_kind as);
    ledger_entry own_entry(entry_state state) const;
    ledger_answer final_answer() const;

    claim_key key;
    fingerprint content;
    time_point deadline;
    attempt_id attempt;
    instance_id self;
    claim_limits limits;

    step current_step = step::create;
    other_sends others = other_sends::not_known;
    bool may_dispatch = true;
    /// A conditional write failed, or this attempt was disowned: reads may be
    /// older than a claim of another send.
    bool contested = false;
    bool dispatched = false;
    /// The result of a write of this attempt's claim is unknown, or its release
    /// was not confirmed.
    bool may_leave_claim = false;
    bool seen_running = false;
    int calls_left;
    int record_calls_left;
    duration wait;
    /// The claim of another attempt, as last read.
    std::optional<versioned_entry> other;
    /// The other attempt, known not to be dispatched any more.
    attempt_id disowned;
    /// Version of this attempt's own claim, or zero if it is not confirmed.
    revision own_version;
    std::optional<record_outcome> outcome;
    answer_kind final_kind = answer_kind::undecided;
    stored_response response;
    not_run_reason not_run = not_run_reason::store_unavailable;
    unknown_reason unknown = unknown_reason::no_answer;
};

} // namespace fireflysail
