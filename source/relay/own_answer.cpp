#include "relay/own_answer.hpp"

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Advice to callers when nothing can run their request: about the time in
/// which lost layers are loaded elsewhere.
constexpr duration retry_after_outage = 1s;

/// Advice to the caller of a request that is suspected of a crash: the time
/// until the suspicion has passed.
constexpr duration retry_after_quarantine = 12s;

/// Advice by an instance that stops, as others serve.
constexpr duration retry_after_stop = 100ms;

/// Advice while the instance reads its first configuration.
constexpr duration retry_after_start = 500ms;

/// Advice while the instance cannot read changes, as others may.
constexpr duration retry_after_stale = 500ms;

} // namespace

std::string_view name_of(own_answer why)
{
    switch (why)
    {
    case own_answer::bad_request:
        return "bad_request";
    case own_answer::header_too_large:
        return "header_too_large";
    case own_answer::body_too_large:
        return "body_too_large";
    case own_answer::no_route:
        return "no_route";
    case own_answer::unknown_key:
        return "unknown_key";
    case own_answer::not_configured:
        return "not_configured";
    case own_answer::stale_configuration:
        return "stale_configuration";
    case own_answer::no_backend_server:
        return "no_backend_server";
    case own_answer::overloaded:
        return "overloaded";
    case own_answer::unknown_outcome:
        return "unknown_outcome";
    case own_answer::quarantined:
        return "quarantined";
    case own_answer::stopping:
        return "stopping";
    case own_answer::timed_out:
        return "timed_out";
    case own_answer::timed_out_unsent:
        return "timed_out_unsent";
    }
    return "unknown";
}

unsigned status_of(own_answer why)
{
    switch (why)
    {
    case own_answer::bad_request:
        return 400;
    case own_answer::header_too_large:
        return 431;
    case own_answer::body_too_large:
        return 413;
    case own_answer::no_route:
        return 404;
    case own_answer::unknown_key:
        return 401;
    case own_answer::not_configured:
    case own_answer::stale_configuration:
    case own_answer::no_backend_server:
    case own_answer::overloaded:
    case own_answer::quarantined:
    case own_answer::stopping:
    case own_answer::timed_out_unsent:
        return 503;
    case own_answer::unknown_outcome:
        return 502;
    case own_answer::timed_out:
        return 504;
    }
    return 500;
}

std::optional<duration> usual_retry_after(own_answer why)
{
    switch (why)
    {
    case own_answer::not_configured:
        return retry_after_start;
    case own_answer::stale_configuration:
        return retry_after_stale;
    case own_answer::no_backend_server:
        return retry_after_outage;
    case own_answer::overloaded:
        return retry_after_overload;
    case own_answer::quarantined:
        return retry_after_quarantine;
    case own_answer::stopping:
        return retry_after_stop;
    default:
        return std::nullopt;
    }
}

} // namespace fireflysail
