#pragma once

#include "common/result.hpp"
#include "control/lists_codec.hpp"
#include "store/store.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// What operators may edit.
enum class entry_kind
{
    /// Workspace -> plan.
    plan,
    /// Plan -> what it may use.
    entitlement,
    /// Backend server -> mark.
    mark,
};

/// The kind's name in the store.
std::string_view to_string(entry_kind kind);

object_key key_of(entry_kind kind, const std::string& name);

/// Errors: errc::malformed.
result<entry_object> decode_entry(
    entry_kind kind,
    const std::string& name,
    std::string_view value,
    revision version);

/// Reads an operator's document into its full form, every mistake named.
nlohmann::json parse_entry(
    entry_kind kind,
    const std::string& name,
    std::string_view document,
    std::vector<mistake>& mistakes);

} // namespace fireflysail
