#pragma once

#include "blackboard/fleet.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflysail
{

/// Layers of one version of the service's model, as an engine reports them.
struct held_layers
{
    layer_range layers;
    model_version version;

    auto operator<=>(const held_layers&) const = default;
};

/// What a backend server says of itself in the store. Whether it is a model
/// engine follows from the profile of its service.
struct server_entry
{
    server_id id;
    service_id service;
    endpoint address;
    zone_id zone;
    /// `serving` or `leaving`.
    server_mark mark = server_mark::serving;
    std::uint32_t slots = 0;
    accelerator_kind kind;
    std::vector<held_layers> layers;
    /// Unix milliseconds by the server's own account; zero while unknown.
    std::uint64_t started_at_ms = 0;

    auto operator<=>(const server_entry&) const = default;
};

} // namespace fireflysail
