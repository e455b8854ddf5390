#include "blackboard/fleet.hpp"

#include <algorithm>

namespace fireflysail
{

std::optional<std::uint64_t>
boot_of(const fleet_snapshot& fleet, const server_id& server)
{
    const auto in_engines =
        std::ranges::find(fleet.engines, server, &engine::id);
    if (in_engines != fleet.engines.end())
    {
        return in_engines->started_at_ms;
    }
    const auto in_services =
        std::ranges::find(fleet.services, server, &service_server::id);
    return in_services == fleet.services.end()
               ? std::nullopt
               : std::optional{in_services->started_at_ms};
}

bool accepts_new_work(server_mark mark)
{
    return mark == server_mark::serving;
}

} // namespace fireflysail
