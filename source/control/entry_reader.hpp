#pragma once

#include "common/clock.hpp"
#include "common/result.hpp"
#include "control/audit_trail.hpp"
#include "control/entry_kind.hpp"
#include "store/store.hpp"

#include <string>

namespace fireflysail
{

/// An entry as operators are shown it, with its version and latest edit; a
/// malformed one is shown as such.
nlohmann::json render_entry(entry_kind kind, const stored_object& object);

/// Reads the two lists, the marks and their edits from the store.
class entry_reader
{
public:
    entry_reader(store& objects, const clock& time);

    /// The entry with its version and latest edit as JSON. Errors: those of
    /// store::get.
    result<std::string> get(entry_kind kind, const std::string& name);

    /// All entries of one kind and the revision they were read at, as JSON.
    /// Errors: those of store::list.
    result<std::string> list(entry_kind kind);

    /// The edits that the entry remembers, oldest first, as JSON. Errors:
    /// those of store::get, errc::malformed.
    result<std::string> history(entry_kind kind, const std::string& name);

    /// Every edit in the audit trail, as JSON. Errors: those of store::list.
    result<std::string> audit();

private:
    store& objects;
    const clock& time;
    audit_trail trail;
};

} // namespace fireflysail
