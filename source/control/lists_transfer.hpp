#pragma once

#include "blackboard/lists.hpp"
#include "common/result.hpp"
#include "control/object_table.hpp"

#include <string>
#include <string_view>

namespace fireflysail
{

/// Both lists as transferred from one instance to another: all changes up to
/// revision `applied`, and the versions at which objects were malformed.
struct lists_transfer
{
    revision applied;
    object_table<plan_entry> plans;
    object_table<entitlement_entry> entitlements;
};

std::string encode(const lists_transfer& lists);

/// Errors: errc::malformed.
result<lists_transfer> decode_lists_transfer(std::string_view document);

} // namespace fireflysail
