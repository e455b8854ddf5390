#pragma once

#include "control/order_codec.hpp"

#include <optional>
#include <vector>

namespace fireflysail
{

/// Changes that bring an engine from its reported to its desired state.
struct order_plan
{
    std::vector<holding> unloads;
    std::vector<holding> loads;
    std::optional<server_role> role;

    bool empty() const;
};

/// True when both name the same layers of the same model version.
bool same_layers(const holding& a, const holding& b);

bool contains(const std::vector<holding>& holdings, const holding& wanted);

order_plan plan_orders(const desired_state& desired, const engine& reported);

} // namespace fireflysail
