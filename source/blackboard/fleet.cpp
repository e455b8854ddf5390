#include "blackboard/fleet.hpp"

#include <algorithm>

namespace fireflysail
{

std::optional<listed_server>
find_server(const fleet_snapshot& fleet, const server_id& server)
{
    const auto in_engines =
        std::ranges::find(fleet.engines, server, &engine::id);
    if (in_engines != fleet.engines.end())
    {
        return listed_server{in_engines->mark, in_engines->started_at_ms};
    }
    const auto in_services =
        std::ranges::find(fleet.services, server, &service_server::id);
    if (in_services != fleet.services.end())
    {
        return listed_server{in_services->mark, in_services->started_at_ms};
    }
    return std::nullopt;
}

bool accepts_new_work(server_mark mark)
{
    return mark == server_mark::serving;
}

} // namespace fireflysail
