#pragma once

#include "common/error.hpp"
#include "control/lists_codec.hpp"

#include <string_view>
#include <utility>

namespace fireflysail
{

/// Reads the edits that stand beside an entry; `object.last_edit` keeps its
/// default when the object was not written by an editor, such as a seed.
void read_edits(
    field_reader& fields,
    revision version,
    edit_record& last_edit,
    std::vector<edit_record>& earlier_edits,
    std::vector<mistake>& mistakes);

/// Decodes a stored list object; `read` makes the entry of its fields.
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
