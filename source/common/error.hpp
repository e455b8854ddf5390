#pragma once

#include <system_error>

namespace fireflysail
{

/// Errors that cross a module's boundary.
enum class errc
{
    /// The condition of a conditional update did not hold; nothing changed.
    conflict = 1,
    /// No such object, server, service or model.
    not_found,
    /// The other side was not reached or refused before any effect.
    unavailable,
    /// No answer in time: the effect may or may not have taken place.
    unknown_effect,
    /// The other side answered something that its protocol does not allow.
    malformed,
    /// The call budget is used up; nothing was sent.
    over_budget,
    /// The caller is not allowed to do this; nothing changed.
    forbidden,
    /// The input is not valid; nothing changed.
    invalid_argument,
    /// The watched history is gone; a new snapshot is needed.
    compacted,
    /// The operation was cancelled by its caller.
    cancelled,
};

std::error_code make_error_code(errc code);

} // namespace fireflysail

template <>
struct std::is_error_code_enum<fireflysail::errc> : std::true_type
{
};
