#pragma once

#include "blackboard/lists.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/strong_types.hpp"

namespace fireflysail
{

/// Identifies a request within an admission queue; assigned by the caller.
using ticket_id = strong_number<struct ticket_id_tag>;

/// A request for a slot.
struct queue_entry
{
    ticket_id ticket;
    workspace_id workspace;
    request_class priority = request_class::standard;
    /// Weight of the workspace relative to others, from its plan (entitlement
    /// weight).
    double weight = 1;
    /// Expected service: how long the request is expected to hold a slot.
    duration expected{};
    /// Time by which the request must end; time_point::max() if none.
    time_point deadline = time_point::max();
    /// Whether the stream can be cancelled and resumed later.
    bool preemptible = false;
};

} // namespace fireflysail
