#pragma once

#include "common/clock.hpp"
#include "common/result.hpp"
#include "control/entry_kind.hpp"
#include "control/lists_codec.hpp"
#include "store/store.hpp"

#include <optional>
#include <string>

namespace fireflysail
{

inline constexpr const char* audit_kind = "audit";

/// Audit log of accepted edits: one store object per edit, keyed by the kind
/// and name of its entry and by its edit id.
class audit_trail
{
public:
    explicit audit_trail(store& objects);

    /// Stores the record of an accepted edit. Returns true if the record is
    /// known to be stored, by this call or an earlier one. Idempotent.
    bool append(
        entry_kind kind,
        const std::string& name,
        const edit_record& record,
        time_point deadline);

    /// Returns the entry version that a recorded edit created, or nothing if
    /// the trail has no record of the edit. Errors: those of store::get,
    /// errc::malformed.
    result<std::optional<revision>> find(
        entry_kind kind,
        const std::string& name,
        const edit_id& id,
        time_point deadline);

    /// Returns all recorded edits as a JSON array, without records that are not
    /// JSON objects. Errors: those of store::list.
    result<std::string> list(time_point deadline);

private:
    store& objects;
};

} // namespace fireflysail
