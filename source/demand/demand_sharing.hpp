#pragma once

#include "blackboard/traffic_config.hpp"

namespace fireflysail
{

/// Whether requests to the service differ in rank, by their routes or their
/// workspaces.
bool has_ranks(const traffic_config& config, const service_id& service);

/// Whether decisions need the demand of the whole fleet: a service of model
/// engines has ranks, or its accelerators differ so much in speed that the load
/// of one pipeline says little about that of the others.
bool calls_for_demand_sharing(const traffic_config& config);

} // namespace fireflysail
