#pragma once

#include "backend/engine_messages.hpp"
#include "common/clock.hpp"
#include "common/result.hpp"
#include "routing/progress_monitor.hpp"

#include <functional>
#include <string>

namespace fireflysail
{

/// How the connection of an attempt ended.
enum class stream_end
{
    /// The engine ended the stream by itself.
    closed,
    /// The receiver asked for no more.
    cancelled,
    /// No connection: nothing of the request reached the engine.
    not_connected,
    /// The engine refused and said that nothing ran.
    refused,
    /// The connection broke.
    broken,
    /// No progress by the deadline.
    silent,
    /// The engine sent what its protocol does not allow.
    malformed,
};

/// Receives the events of one attempt; returns false to end it.
using engine_event_receiver = std::function<bool(engine_event&&)>;

/// What the router needs from a model engine.
class engine_api
{
public:
    virtual ~engine_api() = default;

    /// Runs one attempt through the pipeline that begins at `stages[0]`, on a
    /// connection of its own, and returns when the stream has ended. The stream
    /// is cut when `progress` says that it is silent.
    virtual stream_end generate(
        const generate_request& request,
        progress_monitor& progress,
        const engine_event_receiver& receive) = 0;

    /// errc::unavailable or errc::malformed.
    virtual result<engine_status> status(const endpoint& address) = 0;

    /// Sends desired state with a fencing number. errc::conflict when the
    /// engine refused the number as old, errc::unknown_effect.
    virtual result<void>
    order(const endpoint& address, const std::string& body) = 0;
};

} // namespace fireflysail
