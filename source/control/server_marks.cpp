#include "control/server_marks.hpp"

#include "control/marks_codec.hpp"

#include <utility>

namespace fireflysail
{

server_marks::server_marks(
    entry_editor& editor, fleet_controller& fleet, announcer announce)
    : editor{editor}
    , fleet{fleet}
    , announce{std::move(announce)}
{
}

edit_outcome server_marks::set(
    const server_id& server, server_mark mark, const edit_request& request)
{
    auto outcome = this->editor.set(
        entry_kind::mark, server.str(), to_json(mark).dump(), request);
    if (const auto* accepted = std::get_if<edit_accepted>(&outcome))
    {
        const mark_record record{server, mark, accepted->version};
        this->fleet.adopt_marks({record});
        this->announce(record);
    }
    return outcome;
}

} // namespace fireflysail
