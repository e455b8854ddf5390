#pragma once

#include "common/clock.hpp"
#include "ledger/ledger_entry.hpp"

#include <variant>

namespace fireflysail
{

// Results of a dispatch to the service.

struct service_completed
{
    stored_response response;

    auto operator<=>(const service_completed&) const = default;
};

/// The request had no effect and will have none later.
struct service_refused
{
    auto operator<=>(const service_refused&) const = default;
};

/// No answer arrived: the request may have run or may still run.
struct service_no_answer
{
    auto operator<=>(const service_no_answer&) const = default;
};

using dispatch_result =
    std::variant<service_completed, service_refused, service_no_answer>;

// Answers of a claimant to an inquiry about one of its attempts.

/// The claimant can no longer dispatch the attempt.
struct claimant_disowned
{
    /// True if the attempt was never dispatched. False if the claimant has no
    /// record of it, which is also the case once the outcome is in the store.
    bool never_dispatched = false;

    auto operator<=>(const claimant_disowned&) const = default;
};

struct claimant_running
{
    auto operator<=>(const claimant_running&) const = default;
};

/// The attempt ended. Its outcome may not be in the store yet.
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

// Answers of a service that records its attempts.

struct lookup_ran
{
    stored_response response;

    auto operator<=>(const lookup_ran&) const = default;
};

/// The service guarantees that the attempt has not run and never will.
struct lookup_never_runs
{
    auto operator<=>(const lookup_never_runs&) const = default;
};

/// The service has no record of the attempt, offers no lookup or did not
/// answer. Nothing follows from this, as the dispatch may still be in transit.
struct lookup_inconclusive
{
    auto operator<=>(const lookup_inconclusive&) const = default;
};

using lookup_answer =
    std::variant<lookup_ran, lookup_never_runs, lookup_inconclusive>;

// Final answers to a send.

enum class not_run_reason
{
    /// The store is unavailable or refused the call.
    store_unavailable,
    over_budget,
    /// The store did not answer. Nothing is dispatched without a confirmed
    /// claim.
    claim_unconfirmed,
    deadline,
    service_refused,
    /// Another send of the same request took the claim over.
    taken_over,
    /// Too many at-most-once requests are in flight on this instance.
    overloaded,
};

/// Whether an earlier send of the same request may have run.
enum class earlier_sends
{
    /// The ledger could not be read. This send itself did not run.
    not_known,
    /// The ledger shows that no earlier send ran.
    none_ran,
};

struct fresh_response
{
    stored_response response;
    /// False if the outcome has not been written to the store yet.
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
    /// Another send of the same request was still running at this send's
    /// deadline.
    in_progress,
    /// Claimed by another send, and the ledger could not be read.
    ledger_unreadable,
};

struct ledger_unknown
{
    unknown_reason reason = unknown_reason::no_answer;

    auto operator<=>(const ledger_unknown&) const = default;
};

/// The key was used before with different content.
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

/// One send of a request that must not run more than once.
struct claim_request
{
    claim_key key;
    fingerprint content;
    time_point deadline;
};

} // namespace fireflysail
