#include "blackboard/lists.hpp"

namespace fireflysail
{

const entitlement_entry*
find_entitlement(const lists_snapshot& lists, const workspace_id& workspace)
{
    const auto plan = lists.plans.find(workspace);
    if (plan == lists.plans.end())
    {
        return nullptr;
    }
    const auto entitlement = lists.entitlements.find(plan->second.plan);
    return entitlement == lists.entitlements.end() ? nullptr
                                                   : &entitlement->second;
}

} // namespace fireflysail
