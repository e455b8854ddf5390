#pragma once

#include "common/result.hpp"
#include "control/lists_codec.hpp"
#include "store/store.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// Kinds of entries that operators may edit.
enum class entry_kind
{
    /// Workspace -> plan.
    plan,
    /// Plan -> the models and services it may use, and its limits.
    entitlement,
    /// Backend server -> mark.
    mark,
};

/// Returns the name of the kind in the store.
std::string_view to_string(entry_kind kind);

object_key key_of(entry_kind kind, const std::string& name);

/// Errors: errc::malformed.
result<entry_object> decode_entry(
    entry_kind kind,
    const std::string& name,
    std::string_view value,
    revision version);

/// Parses an operator's document, fills in defaults and appends every mistake
/// to `mistakes`.
nlohmann::json parse_entry(
    entry_kind kind,
    const std::string& name,
    std::string_view document,
    std::vector<mistake>& mistakes);

} // namespace fireflysail
