#include "control/order_plan.hpp"

#include <algorithm>
#include <iterator>

namespace fireflysail
{

namespace
{

bool has_adapters(const holding& held, const holding& wanted)
{
    return std::ranges::all_of(
        wanted.adapters,
        [&](const adapter_id& adapter)
        {
            return std::ranges::find(held.adapters, adapter) !=
                   held.adapters.end();
        });
}

} // namespace

bool order_plan::empty() const
{
    return this->unloads.empty() && this->loads.empty() && !this->role;
}

bool same_layers(const holding& a, const holding& b)
{
    return a.model == b.model && a.version == b.version && a.layers == b.layers;
}

bool contains(const std::vector<holding>& holdings, const holding& wanted)
{
    return std::ranges::any_of(
        holdings,
        [&](const holding& held)
        {
            return same_layers(held, wanted);
        });
}

order_plan plan_orders(const desired_state& desired, const engine& reported)
{
    order_plan plan;
    std::ranges::copy_if(
        reported.holdings,
        std::back_inserter(plan.unloads),
        [&](const holding& held)
        {
            return !contains(desired.holdings, held);
        });
    std::ranges::copy_if(
        desired.holdings,
        std::back_inserter(plan.loads),
        [&](const holding& wanted)
        {
            return std::ranges::none_of(
                reported.holdings,
                [&](const holding& held)
                {
                    return same_layers(held, wanted) &&
                           has_adapters(held, wanted);
                });
        });
    if (reported.role != desired.role)
    {
        plan.role = desired.role;
    }
    return plan;
}

} // namespace fireflysail
