#pragma once

#include "blackboard/fleet.hpp"
#include "blackboard/server_entry.hpp"
#include "common/identifiers.hpp"
#include "common/result.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail
{

/// A stream that waits for an engine of its pipeline.
struct stalled_stream
{
    attempt_id attempt;
    /// The engine that does not answer.
    endpoint blocked_on;
};

/// What an engine says of itself when asked; some hundred milliseconds old.
struct engine_condition
{
    std::vector<held_layers> layers;
    /// An order is being carried out.
    bool busy = false;
    /// Orders accepted in this life of the engine.
    std::uint64_t orders_accepted = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// KV cache in use and in all, in tokens times layers.
    std::uint64_t kv_used = 0;
    std::uint64_t kv_total = 0;
    /// Above 1 the engine is slower than its kind.
    double slowdown = 1;
    std::vector<stalled_stream> stalled;
    std::uint64_t started_at_ms = 0;
};

enum class order_outcome
{
    /// Begun, or done already.
    accepted,
    /// Does not fit the engine's state now.
    conflict,
    /// A higher fencing number was seen.
    fenced,
    /// Another engine has the address.
    other_server,
    /// No connection: nothing was ordered.
    not_sent,
    /// No answer: it may have been accepted, or be carried out later.
    unknown,
};

enum class unload_mode
{
    /// Layers given up serve what is in progress first.
    finish_running,
    abort_running,
};

struct placement_order
{
    layer_range layers;
    unload_mode mode = unload_mode::finish_running;
    fencing_number fence;
    /// Refused unless the engine accepted so many orders before.
    std::uint64_t expected_orders_accepted = 0;
};

/// Calls to the control interface of engines. Every call ends in bounded time.
class engine_control
{
public:
    virtual ~engine_control() = default;

    virtual result<engine_condition> status(const engine& server) = 0;

    /// Whether it says that it takes requests; a draining engine does not.
    /// What engines say of their health may be false.
    virtual result<bool> accepts_requests(const engine& server) = 0;

    virtual order_outcome
    place(const engine& server, const placement_order& order) = 0;
};

} // namespace fireflysail
