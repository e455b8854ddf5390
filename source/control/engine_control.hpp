#pragma once

#include "blackboard/fleet.hpp"
#include "blackboard/server_entry.hpp"
#include "common/identifiers.hpp"
#include "common/result.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail
{

/// A stream that is blocked on an engine of its pipeline.
struct stalled_stream
{
    attempt_id attempt;
    /// Address of the unresponsive engine.
    endpoint blocked_on;
};

/// Status that an engine reports about itself, a few hundred milliseconds old.
struct engine_condition
{
    std::vector<held_layers> layers;
    /// True while the engine executes an order.
    bool busy = false;
    /// Orders accepted since the engine started.
    std::uint64_t orders_accepted = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// KV cache in use and total KV cache, in tokens times layers.
    std::uint64_t kv_used = 0;
    std::uint64_t kv_total = 0;
    /// Above 1 the engine is slower than its accelerator kind.
    double slowdown = 1;
    std::vector<stalled_stream> stalled;
    std::uint64_t started_at_ms = 0;
    /// The engine says that it leaves.
    bool leaving = false;
};

/// What an engine says of its health, which may be wrong.
struct engine_health
{
    /// A draining engine accepts none.
    bool accepts_requests = false;
    /// The engine says that it leaves.
    bool leaving = false;
};

enum class order_outcome
{
    /// Execution has started, or the order is already fulfilled.
    accepted,
    /// The order does not match the current state of the engine.
    conflict,
    /// The engine has seen a higher fencing number.
    fenced,
    /// The address belongs to another engine.
    other_server,
    /// No connection was made, so the order has no effect.
    not_sent,
    /// No response arrived: the order may have been accepted, or may be
    /// executed later.
    unknown,
};

enum class unload_mode
{
    /// Requests that are running on the unloaded layers finish first.
    finish_running,
    abort_running,
};

struct placement_order
{
    layer_range layers;
    unload_mode mode = unload_mode::finish_running;
    fencing_number fence;
    /// Precondition: the engine refuses the order unless it has accepted this
    /// many orders before.
    std::uint64_t expected_orders_accepted = 0;
};

/// Client of the engines' control interface. Every call returns within a
/// bounded time.
class engine_control
{
public:
    virtual ~engine_control() = default;

    virtual result<engine_condition> status(const engine& server) = 0;

    virtual result<engine_health> health(const engine& server) = 0;

    virtual order_outcome
    place(const engine& server, const placement_order& order) = 0;
};

} // namespace fireflysail
