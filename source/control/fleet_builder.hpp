#pragma once

#include "blackboard/fleet.hpp"
#include "blackboard/server_entry.hpp"
#include "blackboard/traffic_config.hpp"

#include <vector>

namespace fireflysail
{

/// The fleet that the entries describe: model engines where the profile of
/// their service says so, plain servers otherwise. Entries of services that
/// the configuration does not name are left out.
fleet_snapshot build_fleet(
    const std::vector<server_entry>& entries,
    const traffic_config& config,
    revision version);

/// Profile of an accelerator; null when the service does not know it.
const accelerator_profile*
find_accelerator(const engine_profile& profile, const accelerator_kind& kind);

} // namespace fireflysail
