#pragma once

#include "control/lists_codec.hpp"

#include <optional>

namespace fireflysail
{

/// True when the object remembers the edit that replaced `base` (zero: the
/// one that made the object), so that an edit based on it that is not found
/// there can never take effect.
bool has_successor_of(const entry_object& object, revision base);

/// The object that `record` makes of `current`, whose version is `version`;
/// `entry` is empty for a removal.
entry_object with_edit(
    const entry_object& current,
    revision version,
    edit_record record,
    std::optional<nlohmann::json> entry);

} // namespace fireflysail
