#pragma once

#include "common/clock.hpp"
#include "ledger/ledger_entry.hpp"

#include <variant>

namespace fireflysail
{

// What the service made of a dispatch.

struct service_completed
{
    stored_response response;

    auto operator<=>(const service_completed&) const = default;
};

/// Certain to have had no effect, now or later.
struct service_refused
{
    auto operator<=>(const service_refused&) const = default;
};

/// No answer: it may have run, or may still run.
struct service_no_answer
{
    auto operator<=>(const service_no_answer&) const = default;
};

using dispatch_result =
    std::variant<service_completed, service_refused, service_no_answer>;

// What a claimant says about one of its attempts.

/// The claimant can no longer dispatch the attempt.
struct claimant_disowned
{
    /// True if it never did; false if it no longer knows, which is also so
    /// once the outcome stands in the store.
    bool never_dispatched = false;

    auto operator<=>(const claimant_disowned&) const = default;
};

struct claimant_running
{
    auto operator<=>(const claimant_running&) const = default;
};

/// Ended, with an outcome that may not be in the store yet.
struct claimant_finished
{
    entry_state state = entry_state::unknown;
    stored_response response;

    auto operator<=>(const claimant_finished&) const = default;
};

struct claimant_unreachable
{
    auto operator<=>(const claimant_unreachable&) const = default;
};

using claimant_answer = std::variant<
    claimant_disowned,
    claimant_running,
    claimant_finished,
    claimant_unreachable>;

// What a service that keeps its own record says about an attempt.

struct lookup_ran
{
    stored_response response;

    auto operator<=>(const lookup_ran&) const = default;
};

/// The service vouches that the attempt has not run and never will.
struct lookup_never_runs
{
    auto operator<=>(const lookup_never_runs&) const = default;
};

/// Not seen, not offered or no answer: nothing can be concluded, since the
/// attempt may still be on its way.
struct lookup_inconclusive
{
    auto operator<=>(const lookup_inconclusive&) const = default;
};

using lookup_answer =
    std::variant<lookup_ran, lookup_never_runs, lookup_inconclusive>;

// What a send comes to.

enum class not_run_reason
{
    /// The store is down or refused the call.
    store_unavailable,
    over_budget,
    /// The store did not answer; no dispatch without a confirmed claim.
    claim_unconfirmed,
    deadline,
    service_refused,
    /// Another send of the same request took the claim over.
    taken_over,
    /// Too many requests of this sort are in flight here.
    overloaded,
};

/// Whether an earlier send of the same request may have run.
enum class earlier_sends
{
    /// The ledger could not be read; this send did not run.
    not_known,
    /// The ledger shows that none ran.
    none_ran,
};

struct fresh_response
{
    stored_response response;
    /// False while the outcome waits to be written to the store.
    bool recorded = true;

    auto operator<=>(const fresh_response&) const = default;
};

struct replayed_response
{
    stored_response response;

    auto operator<=>(const replayed_response&) const = default;
};

struct ledger_not_run
{
    not_run_reason reason = not_run_reason::store_unavailable;
    earlier_sends earlier = earlier_sends::not_known;

    auto operator<=>(const ledger_not_run&) const = default;
};

enum class unknown_reason
{
    /// The service did not answer.
    no_answer,
    claimant_unreachable,
    /// Another send of it was still running at this one's deadline.
    in_progress,
    /// Claimed by another send, and the ledger could not be read.
    ledger_unreadable,
};

struct ledger_unknown
{
    unknown_reason reason = unknown_reason::no_answer;

    auto operator<=>(const ledger_unknown&) const = default;
};

/// The key was used before for other content.
struct key_reused
{
    auto operator<=>(const key_reused&) const = default;
};

using ledger_answer = std::variant<
    fresh_response,
    replayed_response,
    ledger_not_run,
    ledger_unknown,
    key_reused>;

/// One send of a request that may not be repeated.
struct claim_request
{
    claim_key key;
    fingerprint content;
    time_point deadline;
};

} // namespace fireflysail
