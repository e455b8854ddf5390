#pragma once

#include "blackboard/fleet.hpp"
#include "blackboard/server_entry.hpp"
#include "blackboard/traffic_config.hpp"

#include <vector>

namespace fireflysail
{

/// Builds the fleet from the store's server entries. An entry becomes a model
/// engine when its service has an engine profile, and a plain server otherwise.
/// Entries of services that the configuration does not list are skipped, and so
/// are engines whose accelerator kind the profile does not list.
fleet_snapshot build_fleet(
    const std::vector<server_entry>& entries,
    const traffic_config& config,
    revision version);

/// Returns null when the profile does not list the accelerator kind.
const accelerator_profile*
find_accelerator(const engine_profile& profile, const accelerator_kind& kind);

} // namespace fireflysail
