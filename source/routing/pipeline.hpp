#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail
{

/// Index of an engine in the arrays that request threads update. A server keeps
/// its slot for as long as it is in the fleet. Free slots are assigned round
/// robin, so that a slot is reused as late as possible.
using engine_slot = strong_number<struct engine_slot_tag, std::uint32_t>;

/// Number of slots; bounds the memory of all arrays indexed by slot.
constexpr std::uint32_t max_engine_slots = 8192;

/// Layers that one engine runs in a pipeline.
struct stage
{
    server_id server;
    layer_range layers;
    engine_slot slot;
    /// Hash of the server's id.
    std::uint64_t server_key = 0;
    /// Number of layers that the engine holds, to scale the times it reports.
    std::uint32_t layers_held = 0;
    /// Expected time of one decoding step through `layers`.
    duration step_time{};
    /// Expected time to prefill one token through `layers`.
    duration prefill_time_per_token{};
    /// One-way delay to the next stage, or from the last stage to the first.
    duration link_to_next{};
};

/// Engines that together run every layer of one model version, in order.
struct pipeline
{
    model_id model;
    model_version version;
    /// Adapter that every stage holds; empty when none is needed.
    adapter_id adapter;
    std::vector<stage> stages;
    /// Expected time per token of a single stream: all steps and links.
    duration step_time{};
    /// Sum of steps and forward links; the planner orders pipelines by it.
    duration cost{};
    /// Expected time to prefill one token through the slowest stage.
    duration prefill_time_per_token{};
    /// Planned tokens in flight, relative to the other pipelines of the set.
    double share = 0;
    /// Hash of the servers and ranges.
    std::uint64_t key = 0;
};

/// True when the stages run each of the layers [0, layers) once, in order, each
/// on a different server.
bool covers_exactly(const pipeline& candidate, std::uint32_t layers);

/// Computes the total times and the key from the stages.
void summarize(pipeline& candidate);

/// True when the pipelines have no server in common.
bool server_disjoint(const pipeline& a, const pipeline& b);

} // namespace fireflysail
