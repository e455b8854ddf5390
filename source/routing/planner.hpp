#pragma once

#include "blackboard/fleet.hpp"
#include "routing/route_table.hpp"

#include <absl/container/flat_hash_set.h>

#include <memory>

namespace fireflysail
{

/// Plans pipelines over the engines that are healthy, accept new work and are
/// not ejected. Sets whose engines did not change are reused from `previous`.
/// Returns `previous` itself when nothing changed.
std::shared_ptr<const route_table> plan_routes(
    const fleet_snapshot& fleet,
    const std::shared_ptr<const route_table>& previous,
    const absl::flat_hash_set<server_id>& ejected = {});

} // namespace fireflysail
