#pragma once

#include "blackboard/fleet.hpp"
#include "common/identifiers.hpp"
#include "common/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

inline constexpr const char* order_kind = "order";

/// Target role and holdings of an engine.
struct desired_state
{
    server_role role = server_role::mixed;
    std::vector<holding> holdings;

    auto operator<=>(const desired_state&) const = default;
};

/// A holding that an order in flight may unload. It is stored before the order
/// is sent and removed once a report from the engine shows the effect.
struct pending_unload
{
    fencing_number fence;
    holding unloaded;
    /// The order can no longer arrive late: the engine has acknowledged it, or
    /// a later one with a newer fencing number.
    bool acknowledged = false;

    auto operator<=>(const pending_unload&) const = default;
};

/// Stored orders of one engine.
struct order_object
{
    desired_state desired;
    std::vector<pending_unload> pending_unloads;

    auto operator<=>(const order_object&) const = default;
};

std::string encode(const order_object& object);

/// Errors: errc::malformed.
result<order_object> decode_order(std::string_view value);

} // namespace fireflysail
