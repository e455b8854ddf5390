#pragma once

#include "common/identifiers.hpp"
#include "routing/pipeline.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace fireflysail
{

/// An engine that can be a stage of pipelines of one model version.
struct graph_engine
{
    server_id server;
    engine_slot slot;
    std::uint64_t server_key = 0;
    /// Index into the zones of the graph.
    std::uint32_t zone = 0;
    layer_range layers;
    /// Expected time of a decoding step per layer.
    duration layer_time{};
    duration prefill_time_per_token_layer{};
    /// Number of streams that it batches.
    std::uint32_t batch = 1;

    auto operator<=>(const graph_engine&) const = default;
};

/// Engines of one model version, and the layer boundaries at which a pipeline
/// may switch from one engine to another.
struct stage_graph
{
    model_id model;
    model_version version;
    /// Adapter that every engine holds; empty when none is needed.
    adapter_id adapter;
    std::uint32_t layers = 0;
    std::vector<graph_engine> engines;
    std::vector<zone_id> zones;
    /// One-way delays between zones: row-major matrix by zone index.
    std::vector<duration> links;
    /// Sorted ends of all layer ranges, including 0 and `layers`. Segment i
    /// lies between boundaries i and i + 1.
    std::vector<std::uint32_t> boundaries;
    /// Additional boundaries besides the ends of the ranges.
    std::vector<std::uint32_t> extra_boundaries;
    /// By segment: indices of the engines that hold it.
    std::vector<std::vector<std::size_t>> holders;

    std::size_t segments() const;

    duration link(std::uint32_t from_zone, std::uint32_t to_zone) const;
};

/// Computes the boundaries and holders from the ranges of the engines.
void find_boundaries(stage_graph& graph);

/// Costs and restrictions of a path search.
struct path_costs
{
    /// By engine: factor on the step time; infinite when it must not be used.
    std::vector<double> weights;
    /// Row-major matrix by engine and segment: whether the engine must not run
    /// the segment. Empty when there are no such restrictions.
    std::vector<bool> blocked;
    /// Maximum number of paths with a repeated engine that the search repairs
    /// before it gives up.
    int repairs = 64;
};

/// Consecutive segments [first, last) on one engine.
struct path_part
{
    std::size_t engine = 0;
    std::size_t first = 0;
    std::size_t last = 0;
};

/// Endpoints of a path search: it covers the layers between the boundaries
/// `first` and `last`. The zones are those of the stages before and after the
/// path, if any.
struct path_ends
{
    std::size_t first = 0;
    std::size_t last = 0;
    std::optional<std::uint32_t> zone_before;
    std::optional<std::uint32_t> zone_after;
};

/// Finds the cheapest path, cost = weighted step times + links + a fixed cost
/// for each change of engine. No engine is used twice. Empty when there is no
/// such path or the search reached the limit of repairs.
std::vector<path_part> cheapest_path(
    const stage_graph& graph, const path_ends& ends, const path_costs& costs);

/// Makes a stage of the engine and the segments of the part.
stage make_stage(const stage_graph& graph, const path_part& part);

/// Makes a pipeline of the parts, with its links and total times.
pipeline
make_pipeline(const stage_graph& graph, const std::vector<path_part>& parts);

} // namespace fireflysail
