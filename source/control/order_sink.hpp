#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/result.hpp"

#include <variant>

namespace fireflysail
{

/// Load these layers; layers that are already loaded stay.
struct load_order
{
    holding wanted;
};

/// Unload these layers; no effect if they are not loaded.
struct unload_order
{
    holding unloaded;
};

struct role_order
{
    server_role role = server_role::mixed;
};

using order_content = std::variant<load_order, unload_order, role_order>;

/// An idempotent order to a model engine.
struct engine_order
{
    server_id server;
    fencing_number fence;
    order_content content;
};

/// Sends orders to model engines.
class order_sink
{
public:
    virtual ~order_sink() = default;

    /// Returns once the engine has acknowledged the order. Sends nothing after
    /// `send_deadline`: it is checked last before the first byte is sent.
    /// Errors: errc::forbidden (refused for its fencing number),
    /// errc::unavailable (no effect), errc::invalid_argument (refused for
    /// another reason, no effect), errc::unknown_effect.
    virtual result<void>
    send(const engine_order& order, time_point send_deadline) = 0;
};

} // namespace fireflysail
