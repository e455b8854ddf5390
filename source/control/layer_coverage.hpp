#pragma once

#include "blackboard/fleet.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail
{

/// A holding that may be unloaded at any moment and is therefore not counted as
/// available.
struct uncertain_holding
{
    server_id server;
    holding held;
};

/// The phase of inference for which a pipeline uses an engine.
enum class inference_phase
{
    prefill,
    decode,
};

bool can_serve(server_role role, inference_phase phase);

/// Computes the availability and the slots of layers from reliable holdings
/// alone: those on healthy engines that accept new work and that no order may
/// unload.
class layer_coverage
{
public:
    layer_coverage(
        const fleet_snapshot& fleet,
        const std::vector<uncertain_holding>& uncertain);

    /// True when every layer of `removed` stays available for `phase` on
    /// another engine after `server` unloads it.
    bool can_remove(
        const server_id& server,
        const holding& removed,
        inference_phase phase) const;

    /// True when every layer of `removed` stays available on another engine for
    /// each phase that `role` serves.
    bool can_remove(
        const server_id& server,
        const holding& removed,
        server_role role) const;

    /// Number of slots of the model version's layer that has the fewest.
    double capacity(const model_id& model, const model_version& version) const;

    /// Result of `capacity` for the model version of `held` after `server` has
    /// unloaded `held`.
    double capacity_without(const server_id& server, const holding& held) const;

    /// True when `server` is healthy, accepts new work, and no order may unload
    /// `held`.
    bool is_reliable(const engine& server, const holding& held) const;

private:
    bool is_held_by_another(
        const server_id& server,
        const holding& removed,
        layer_index layer,
        inference_phase phase) const;

    const fleet_snapshot& fleet;
    const std::vector<uncertain_holding>& uncertain;
};

} // namespace fireflysail
