#pragma once

#include "common/clock.hpp"

#include <string_view>
#include <variant>

namespace fireflysail
{

/// Why a request did not run.
enum class did_not_run_reason
{
    /// The queue is full, or the expected wait is too long for its class.
    overloaded,
    /// The request could not have been answered before its deadline.
    deadline,
    /// The plan of the workspace does not allow the request now, or never does.
    over_plan,
    /// Requests with this content crash backend servers.
    quarantined,
    /// No backend server able to run the request could be reached.
    no_backend_server,
    /// The claim of the request could not be confirmed in the store.
    claim_unconfirmed,
    /// The caller gave up before the request was dispatched.
    cancelled,
    /// The instance is draining.
    shutting_down,
};

/// Why a request that ran produced no complete answer.
enum class failed_reason
{
    /// Backend servers failed, and the retry budget or the attempts are used
    /// up.
    retries_exhausted,
    /// The deadline passed while the request ran.
    deadline,
    /// The backend server reported that the work failed.
    backend_error,
    /// The caller disconnected.
    cancelled,
    /// The request ran before, but its answer was too long to be stored for a
    /// replay.
    answer_not_kept,
    /// Every attempt crashed its backend server.
    crashes_backend_servers,
};

/// The complete answer was delivered.
struct completed
{
    bool operator==(const completed&) const = default;
};

/// No byte of the request reached a backend server, or the backend server
/// reported that nothing ran.
struct did_not_run
{
    did_not_run_reason reason = did_not_run_reason::overloaded;
    /// Time after which a retry is likely to be served; zero if unknown.
    duration retry_after{};

    bool operator==(const did_not_run&) const = default;
};

/// A non-idempotent request may or may not have run.
struct outcome_unknown
{
    bool operator==(const outcome_unknown&) const = default;
};

/// The request ran but produced no complete answer.
struct failed
{
    failed_reason reason = failed_reason::backend_error;

    bool operator==(const failed&) const = default;
};

/// Result of a request; every request has exactly one of these.
using outcome = std::variant<completed, did_not_run, outcome_unknown, failed>;

/// Name used in answers, logs and metrics, e.g. "did_not_run".
std::string_view name_of(const outcome& value);

std::string_view name_of(did_not_run_reason reason);

std::string_view name_of(failed_reason reason);

} // namespace fireflysail
