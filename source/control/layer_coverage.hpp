#pragma once

#include "blackboard/fleet.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail
{

/// A holding that may go away at any moment and so does not count.
struct uncertain_holding
{
    server_id server;
    holding held;
};

/// What a pipeline needs of the engines that hold a layer.
enum class inference_phase
{
    prefill,
    decode,
};

bool can_serve(server_role role, inference_phase phase);

/// Slots of the engines that can be counted on for a layer: healthy, serving
/// and sure to keep it.
class layer_coverage
{
public:
    layer_coverage(
        const fleet_snapshot& fleet,
        const std::vector<uncertain_holding>& uncertain);

    /// True when every layer of `lost` would keep a holder for `use` without
    /// `server`.
    bool can_remove(
        const server_id& server,
        const holding& removed,
        inference_phase phase) const;

    /// The same for every use that `role` serves.
    bool can_remove(
        const server_id& server,
        const holding& removed,
        server_role role) const;

    /// Slots of the scarcest layer of the model version.
    double capacity(const model_id& model, const model_version& version) const;

    /// Slots of its model's scarcest layer once `server` no longer held it.
    double capacity_without(const server_id& server, const holding& held) const;

    /// True when the holding is there and sure to stay.
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
