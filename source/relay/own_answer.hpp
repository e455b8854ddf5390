#pragma once

#include "common/clock.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace fireflysail
{

/// Advice to callers whose request found no room.
inline constexpr duration retry_after_overload = std::chrono::milliseconds{500};

/// Why an answer of our own was sent in place of a backend server's.
enum class own_answer
{
    bad_request,
    header_too_large,
    body_too_large,
    no_route,
    unknown_key,
    /// No configuration is known yet.
    not_configured,
    /// It would be refused, by a view that may lack changes.
    stale_configuration,
    /// No backend server can run it now.
    no_backend_server,
    /// Every backend server that was asked had no room.
    overloaded,
    /// It was sent, and whether it ran is not known.
    unknown_outcome,
    /// Requests with its content crash backend servers.
    quarantined,
    /// The instance stops before the answer would be due.
    stopping,
    /// Its time was up after it was sent.
    timed_out,
    /// Its time was up before it was sent.
    timed_out_unsent,
};

std::string_view name_of(own_answer why);

/// The HTTP status that the answer has.
unsigned status_of(own_answer why);

/// When callers should come back, unless more is known of their request.
std::optional<duration> usual_retry_after(own_answer why);

} // namespace fireflysail
