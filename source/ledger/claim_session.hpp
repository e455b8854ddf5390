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
    /// Store calls that one send may make before it is dispatched.
    int store_calls = 5;
    /// Calls that may go into writing the outcome down before the rest is left
    /// to the background.
    int record_calls = 2;
    /// Pause before asking again about a send that is still running; doubles
    /// each time up to the longest.
    duration first_wait{std::chrono::milliseconds{50}};
    duration longest_wait{std::chrono::seconds{1}};

    auto operator<=>(const claim_limits&) const = default;
};

// The next thing to do for a send.

struct create_claim
{
    ledger_entry entry;
};

/// Replaces the claim of an attempt that its claimant disowned.
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

/// Only if the table of attempts still allows it, in one step with marking the
/// attempt as dispatched.
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
    /// A write of this attempt may still take effect and leave a claim behind.
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

/// One send of a request, from claim to answer, as a state machine: `next`
/// says what to do, and the matching `on_…` takes what came of it. Pure;
/// docs/design/ledger.md gives the states and what a crash in each leaves.
class claim_session
{
public:
    claim_session(
        const claim_request& request,
        const attempt_id& attempt,
        const instance_id& self,
        const claim_limits& limits);

    /// Must be called before each event: it is here that the deadline counts.
    session_command next(time_point now);

    /// After create_claim, take_over_claim, record_outcome, release_claim.
    void on_written(const result<revision>& reply);

    /// After read_claim.
    void on_read(const result<versioned_entry>& reply);

    /// After ask_claimant.
    void on_claimant(const claimant_answer& reply);

    /// After lookup_at_service.
    void on_lookup(const lookup_answer& reply);

    /// After dispatch_request.
    void on_dispatched(const dispatch_result& reply);

    /// Instead of carrying out dispatch_request, if the attempt was disowned
    /// meanwhile.
    void on_dispatch_denied();

    /// After wait_for.
    void on_waited();

    const attempt_id& id() const;

    const claim_key& request_key() const;

    /// The entry to write if the outcome is still to be recorded.
    const std::optional<record_outcome>& unrecorded() const;

    /// Orders states; equal sessions go on equally.
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

    /// What is known of sends other than this one.
    enum class other_sends
    {
        not_known,
        none_ran,
        /// One holds a claim, and what became of it is open.
        one_claimed,
    };

    /// The sort of the answer to come, once decided.
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
    /// A conditional write failed, or this attempt's word was given: reads may
    /// lag behind a claim of another send.
    bool contested = false;
    bool dispatched = false;
    /// A write of this attempt's claim was sent and neither confirmed nor
    /// denied, or its release was not confirmed.
    bool may_leave_claim = false;
    bool seen_running = false;
    int calls_left;
    int record_calls_left;
    duration wait;
    /// The claim of another attempt, as last read.
    std::optional<versioned_entry> other;
    /// The attempt that its claimant disowned.
    attempt_id disowned;
    /// Version of this attempt's own claim; zero unless confirmed.
    revision own_version;
    std::optional<record_outcome> outcome;
    answer_kind final_kind = answer_kind::undecided;
    stored_response response;
    not_run_reason not_run = not_run_reason::store_unavailable;
    unknown_reason unknown = unknown_reason::no_answer;
};

} // namespace fireflysail
