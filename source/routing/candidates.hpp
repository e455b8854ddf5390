#pragma once

#include "routing/stage_graph.hpp"

#include <vector>

namespace fireflysail
{

/// Pipelines for one model version. The first ones are the cheapest and share
/// no server with one another; all together their shares use every engine as
/// far as the slowest layers of the fleet allow.
std::vector<pipeline> find_candidates(const stage_graph& graph);

/// Pipelines that each stay within one zone. While no zone holds the whole
/// model, the ones that cross to another the fewest times.
std::vector<pipeline> find_local_candidates(const stage_graph& graph);

/// Pipelines whose shares use every engine as far as the slowest layers of the
/// fleet allow; the shares add up to the flow that the pipelines carry.
std::vector<pipeline> find_cover(const stage_graph& graph);

/// Cheapest pipeline, or one without stages.
pipeline find_cheapest(const stage_graph& graph);

} // namespace fireflysail
