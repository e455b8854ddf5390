#pragma once

#include "routing/stage_graph.hpp"

#include <vector>

namespace fireflysail
{

/// Candidate pipelines for one model version. The first ones are the cheapest
/// and are pairwise server-disjoint. Together, their shares load every engine
/// as far as the bottleneck layers of the fleet allow.
std::vector<pipeline> find_candidates(const stage_graph& graph);

/// Candidate pipelines that each stay within one zone, and share no engine with
/// another where that uses all engines of the zone. When no zone holds the
/// whole model, the cheapest pipelines across zones.
std::vector<pipeline> find_local_candidates(const stage_graph& graph);

/// Pipelines whose shares load every engine as far as the bottleneck layers of
/// the fleet allow. The shares add up to the total flow of the pipelines.
std::vector<pipeline> find_cover(const stage_graph& graph);

/// Cheapest pipeline, or one without stages if none covers the model.
pipeline find_cheapest(const stage_graph& graph);

} // namespace fireflysail
