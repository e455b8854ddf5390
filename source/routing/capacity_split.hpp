#pragma once

#include "routing/stage_graph.hpp"

#include <cstddef>
#include <vector>

namespace fireflysail
{

/// Maximum flow of tokens through all layers, and the part of it that each
/// engine runs on each segment. On every segment the parts add up to `flow`.
struct capacity_split
{
    /// In streams in flight per second of layer time. Comparable only between
    /// engines of one graph.
    double flow = 0;
    std::size_t segments = 0;
    /// Indexed by engine and segment, with `segments` elements per engine.
    std::vector<double> parts;

    double& at(std::size_t engine, std::size_t segment);
    double at(std::size_t engine, std::size_t segment) const;
};

capacity_split split_capacity(const stage_graph& graph);

} // namespace fireflysail
