#pragma once

#include "control/lists_codec.hpp"

#include <optional>

namespace fireflysail
{

/// Returns true if the object's history holds the edit that replaced version
/// `base` (the edit that created the object if `base` is zero). An edit based
/// on `base` that is not in the history can then never take effect.
bool has_successor_of(const entry_object& object, revision base);

/// Returns the object that results from applying the edit `record` to
/// `current`, whose version is `version`. `entry` is empty for a removal.
entry_object with_edit(
    const entry_object& current,
    revision version,
    edit_record record,
    std::optional<nlohmann::json> entry);

} // namespace fireflysail
