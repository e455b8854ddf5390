#include "limits/ownership.hpp"

#include "common/hash.hpp"
#include "common/invariant.hpp"

#include <algorithm>

namespace fireflysail
{

const instance_id&
owner_of(const workspace_id& workspace, const std::vector<instance_id>& live)
{
    ensure(!live.empty(), "an instance is always live in its own view");
    return *std::ranges::max_element(
        live,
        {},
        [&](const instance_id& id)
        {
            return rendezvous_weight(workspace.str(), id.str());
        });
}

double live_fraction(const limits_view& view)
{
    const auto live = static_cast<double>(view.live.size());
    const auto all = static_cast<double>(view.fleet_size);
    return all <= live ? 1.0 : live / all;
}

} // namespace fireflysail
