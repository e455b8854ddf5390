#pragma once

#include "common/identifiers.hpp"
#include "common/units.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace fireflysail
{

/// An engine that may hold a range of a model's layers.
struct layout_engine
{
    server_id id;
    zone_id zone;
    /// Layers that its memory holds when nothing is left for KV cache.
    std::uint32_t most_layers = 0;
    /// What it holds, or was ordered to hold.
    std::optional<layer_range> held;
};

struct layout_options
{
    /// Part of its layers' worth of memory that an engine may fill when it
    /// takes over lost layers; the rest stays for KV cache.
    double repair_fill = 0.85;
    /// Part of a zone's memory that copies of the model may fill; a zone holds
    /// as many as fit, and at least one.
    double copies_fill = 0.8;
};

struct layout_step
{
    server_id server;
    layer_range layers;

    auto operator<=>(const layout_step&) const = default;
};

/// Orders that give every zone which can hold the whole model as many copies as
/// leave room for KV cache, each spread over its part of the engines of the
/// zone so that the fullest is as empty as can be: the engine with the least
/// KV cache bounds the streams of its pipeline. Streams that stay in a zone use
/// no pipe between zones. A loss stops only the pipelines of one copy. The
/// neighbours of a hole take it over, as each then loads a few layers only,
/// also where another copy still has them; a larger part of the zone is split
/// anew only where the neighbours lack memory. Nothing is moved that need not
/// be.
///
/// Answers the load pattern of engines that crash or leave at full load.
std::vector<layout_step> plan_layout(
    const std::vector<layout_engine>& engines,
    std::uint32_t layers,
    const layout_options& options = {});

} // namespace fireflysail
