#include "control/edit_history.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

bool has_successor_of(const entry_object& object, revision base)
{
    // `last_edit` is empty in an object that was not written by the editor.
    const bool is_last_edit =
        !object.last_edit.id.empty() && object.last_edit.based_on == base;
    return is_last_edit ||
           std::ranges::find(
               object.earlier_edits, base, &edit_record::based_on) !=
               object.earlier_edits.end();
}

entry_object with_edit(
    const entry_object& current,
    revision version,
    edit_record record,
    std::optional<nlohmann::json> entry)
{
    entry_object next{std::move(entry), std::move(record), {}};
    next.last_edit.based_on = version;
    next.last_edit.version = revision{};
    next.last_edit.removal = !next.entry.has_value();
    next.earlier_edits = current.earlier_edits;
    if (!current.last_edit.id.empty())
    {
        next.earlier_edits.push_back(current.last_edit);
    }
    return next;
}

} // namespace fireflysail
