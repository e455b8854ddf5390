#pragma once

#include "control/entry_editor.hpp"
#include "control/fleet_controller.hpp"

#include <functional>

namespace fireflysail
{

/// Sets the operators' marks of backend servers. An accepted mark is in force
/// on this instance before the call returns, and is sent to the peers and
/// included in fleet_controller::export_marks even if the store goes down in
/// the meantime.
class server_marks
{
public:
    /// Sends an accepted mark to the peers; must not block on them.
    using announcer = std::function<void(const mark_record&)>;

    server_marks(
        entry_editor& editor, fleet_controller& fleet, announcer announce);

    edit_outcome
    set(const server_id& server, server_mark mark, const edit_request& request);

private:
    entry_editor& editor;
    fleet_controller& fleet;
    announcer announce;
};

} // namespace fireflysail
