#pragma once

#include "routing/stage_graph.hpp"

#include <vector>

namespace fireflysail
{

/// Finds as many pipelines as possible that run each of their engines with all
/// layers that it holds and have no engine in common, as engines whose ranges
/// adjoin form them. Empty when no engines adjoin from the first layer to the
/// last.
///
/// Only the first stage of a pipeline reports how many streams it runs. Engines
/// that several pipelines share run streams that no report counts: their KV
/// cache fills up while the pipelines appear to have room.
///
/// Handles sustained load close to the KV cache of the fleet.
std::vector<std::vector<path_part>>
find_aligned_pipelines(const stage_graph& graph);

} // namespace fireflysail
