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

/// Keeps one store object for each accepted edit, named by its
/// entry and edit id.
class audit_trail
{
public:
    explicit audit_trail(store& objects);

    /// Records an accepted edit; true once the record is known to be kept.
    /// Safe to repeat.
    bool append(
        entry_kind kind,
        const std::string& name,
        const edit_record& record,
        time_point deadline);

    /// The version that a filed edit made; empty when it was never filed.
    /// Errors: those of store::get, errc::malformed.
    result<std::optional<revision>> find(
        entry_kind kind,
        const std::string& name,
        const edit_id& id,
        time_point deadline);

    /// All filed edits, as a JSON array. Errors: those of store::list.
    result<std::string> list(time_point deadline);

private:
    store& objects;
};

} // namespace fireflysail
