#pragma once

#include "common/clock.hpp"
#include "common/result.hpp"
#include "control/audit_trail.hpp"
#include "control/entry_kind.hpp"
#include "store/store.hpp"

#include <string>

namespace fireflysail
{

/// Renders a stored entry as JSON for operators, with its version and latest
/// edit. A malformed entry is rendered with `malformed` in place of both its
/// value and its latest edit.
nlohmann::json render_entry(entry_kind kind, const stored_object& object);

/// Reads the two lists, the marks and their edits from the store.
class entry_reader
{
public:
    entry_reader(store& objects, const clock& time);

    /// Returns the entry with its version and latest edit as JSON. Errors:
    /// those of store::get.
    result<std::string> get(entry_kind kind, const std::string& name);

    /// Returns all entries of one kind, except removed ones, and the revision
    /// they were read at, as JSON. Errors: those of store::list.
    result<std::string> list(entry_kind kind);

    /// Returns the edits in the entry's history, oldest first, as JSON. Errors:
    /// those of store::get, errc::malformed.
    result<std::string> history(entry_kind kind, const std::string& name);

    /// Returns all edits in the audit trail as JSON. Errors: those of
    /// store::list.
    result<std::string> audit();

private:
    store& objects;
    const clock& time;
    audit_trail trail;
};

} // namespace fireflysail
