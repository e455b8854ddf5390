#pragma once

#include "blackboard/lists.hpp"

#include <memory>
#include <optional>
#include <string_view>

namespace fireflysail
{

/// A caller that was recognised, and what its plan may use; both lists are of
/// one revision.
struct authenticated_caller
{
    std::shared_ptr<const lists_snapshot> lists;
    workspace_id workspace;
    const entitlement_entry* entitlement = nullptr;
};

/// Credential of an "Authorization: Bearer" header; empty if it is none.
std::string_view bearer_credential(std::string_view header);

/// The workspace that the credential names; none if there is no such workspace
/// or its plan has no entitlement.
std::optional<authenticated_caller> authenticate(
    std::shared_ptr<const lists_snapshot> lists, std::string_view credential);

} // namespace fireflysail
