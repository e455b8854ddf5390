#pragma once

#include "common/identifiers.hpp"
#include "control/engine_prober.hpp"

namespace fireflysail
{

/// What one instance tells the others of an engine. A hint: it may be lost,
/// late or doubled, and nothing that must hold rests on it.
struct notice
{
    instance_id from;
    server_id server;
    engine_observation news = engine_observation::failed;

    bool operator==(const notice&) const = default;
};

} // namespace fireflysail
