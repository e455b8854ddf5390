#pragma once

#include "common/identifiers.hpp"
#include "common/units.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace fireflysail
{

/// An engine that can hold a range of a model's layers.
struct layout_engine
{
    server_id id;
    zone_id zone;
    /// Its memory in units of a layer.
    double memory = 0;
    /// Layers that it holds or was ordered to load.
    std::optional<layer_range> held;

    /// Number of layers that fit into its memory without any KV cache.
    std::uint32_t max_layers() const;
};

struct layout_options
{
    /// Fraction of its memory that an engine may fill with layers when it takes
    /// over lost ones; the rest is reserved for KV cache.
    double repair_fill = 0.85;
    /// Fraction of a zone's memory that copies of the model may fill. A zone
    /// holds as many copies as fit, and at least one.
    double copies_fill = 0.66;
};

struct layout_step
{
    server_id server;
    layer_range layers;

    auto operator<=>(const layout_step&) const = default;
};

/// Plans which layers each engine should load. Every zone that can hold the
/// whole model gets as many copies as leave memory for KV cache, so that
/// streams need no links between zones and the loss of an engine stops only the
/// pipelines of one copy.
///
/// An empty zone is divided into one group of engines for each copy. The layers
/// of a copy are spread to minimize the highest memory use in its group,
/// because the engine with the least KV cache limits the streams of its
/// pipeline.
///
/// Layers that a copy lacks are assigned to an unused engine or to the engines
/// next to the gap, which then load only a few layers each. This is done even
/// if another copy still holds the layers. If no engine holds a layer and these
/// engines lack memory, a larger part of the zone is reassigned. Other
/// assignments are kept.
///
/// Handles engines that crash or leave under full load.
std::vector<layout_step> plan_layout(
    const std::vector<layout_engine>& engines,
    std::uint32_t layers,
    const layout_options& options = {});

} // namespace fireflysail
