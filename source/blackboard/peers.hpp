#pragma once

#include "blackboard/fleet.hpp"
#include "common/identifiers.hpp"

#include <vector>

namespace fireflysail
{

enum class peer_state
{
    alive,
    suspect,
    dead,
    left,
};

/// Another entry instance, as this one sees it.
struct peer
{
    instance_id id;
    endpoint address;
    zone_id zone;
    region_id region;
    incarnation life;
    peer_state state = peer_state::alive;
};

struct peers_snapshot
{
    std::vector<peer> peers;
};

} // namespace fireflysail
