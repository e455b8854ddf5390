#pragma once

#include "common/clock.hpp"
#include "common/result.hpp"
#include "control/entry_kind.hpp"
#include "store/store.hpp"

#include <optional>
#include <string>
#include <vector>

namespace fireflysail
{

/// A well-formed edit that may still conflict with other entries.
struct proposed_edit
{
    entry_kind kind = entry_kind::plan;
    std::string name;
    /// Empty for a removal.
    std::optional<nlohmann::json> entry;
    time_point deadline;
};

/// Validates an edit against the other entries in the store. Another edit may
/// still be written between the check and the write; workspaces that this
/// leaves without an entitlement are counted in `lists_status`.
class edit_checks
{
public:
    explicit edit_checks(store& objects);

    /// Errors: those of the store's reads.
    result<std::vector<mistake>> find_mistakes(const proposed_edit& proposed);

private:
    result<std::vector<mistake>>
    find_plan_mistakes(const proposed_edit& proposed);
    result<std::vector<mistake>>
    find_entitlement_mistakes(const proposed_edit& proposed);
    result<std::vector<mistake>>
    find_server_mistakes(const proposed_edit& proposed);

    store& objects;
};

} // namespace fireflysail
