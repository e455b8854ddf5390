#pragma once

#include "common/identifiers.hpp"
#include "control/field_reader.hpp"

#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace fireflysail
{

/// The edit took effect exactly once and is durable; later edits may already
/// have replaced its value.
struct edit_accepted
{
    revision version;
};

/// The edit did not take effect and never will: the entry has changed since
/// the version that it was based on.
struct edit_conflict
{
    /// The current entry as JSON; "null" if the store has no such object.
    std::string current;
};

/// The edit is invalid and was not written to the store.
struct edit_rejected
{
    std::vector<mistake> mistakes;
};

/// The edit did not take effect and will not unless it is sent again.
struct edit_not_accepted
{
    std::error_code reason;
};

/// The edit may have taken effect or may still do so. Resending it with the
/// same edit id is safe and resolves the outcome.
struct edit_unknown
{
    /// Validation errors, if they kept the edit from being written this time.
    std::vector<mistake> mistakes;
};

using edit_outcome = std::variant<
    edit_accepted,
    edit_conflict,
    edit_rejected,
    edit_not_accepted,
    edit_unknown>;

/// Returns the outcome as JSON for operators, such as {"outcome": "accepted",
/// "version": 7}.
std::string to_json_text(const edit_outcome& outcome);

} // namespace fireflysail
