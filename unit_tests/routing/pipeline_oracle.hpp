#pragma once

#include "routing/stage_graph.hpp"

#include <limits>
#include <vector>

namespace fireflysail
{

/// Enumerates all pipelines of a small graph whose stages end at boundaries.
std::vector<std::vector<path_part>> all_paths(const stage_graph& graph);

/// Cost that the planner minimizes: steps, links and a fixed cost per change of
/// engine.
double cost_of(const stage_graph& graph, const std::vector<path_part>& parts);

/// Maximum flow of any combination of all pipelines, by the simplex method.
double largest_flow(const stage_graph& graph);

} // namespace fireflysail
