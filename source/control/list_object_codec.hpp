#pragma once

#include "common/error.hpp"
#include "control/lists_codec.hpp"

#include <string_view>
#include <utility>

namespace fireflysail
{

/// Reads the edits stored with an entry. `last_edit` keeps its default if the
/// object was not written by an editor, as for seed data.
void read_edits(
    field_reader& fields,
    revision version,
    edit_record& last_edit,
    std::vector<edit_record>& earlier_edits,
    std::vector<mistake>& mistakes);

/// Decodes a stored list object; `read` builds the entry from its fields.
/// Errors: errc::malformed.
template <class Entry, class Read>
result<list_object<Entry>>
decode_list_object(std::string_view value, revision version, const Read& read)
{
    std::vector<mistake> mistakes;
    const auto document = parse_object(value, mistakes);
    if (!document)
    {
        return errc::malformed;
    }
    field_reader fields{*document, "", mistakes};
    list_object<Entry> object;
    if (!fields.has("removed") || !fields.boolean("removed"))
    {
        object.entry = read(fields);
    }
    read_edits(
        fields, version, object.last_edit, object.earlier_edits, mistakes);
    if (!mistakes.empty())
    {
        return errc::malformed;
    }
    return object;
}

} // namespace fireflysail
