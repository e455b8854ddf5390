#pragma once

#include "relay/exchange.hpp"

namespace fireflysail
{

/// Whether the request should be sent to another instance: this one is cut off
/// from all backend servers, and another one is not. Requests of other
/// instances are never sent on.
bool should_pass_on(const exchange& served);

/// Whether a request of another instance is better served by a third one, as
/// this one reaches no backend server, or does not know whether it does.
bool should_hand_back(const exchange& served);

/// Sends the request to another instance as the caller sent it, and forwards
/// the answer. Asks a further one only if the one before has run nothing or the
/// request may run again. Returns false if no instance could be asked: nothing
/// was sent, and the caller has no answer.
asio::awaitable<bool> serve_at_peer(exchange& served);

/// Waits while it is not known whether this instance is cut off. A request of
/// another instance does not wait: it is better sent to a third one.
asio::awaitable<void> wait_for_reach(exchange& served);

/// For a request that got no answer here and may run elsewhere. Returns whether
/// its caller was answered, or left.
asio::awaitable<bool> pass_on_if_cut_off(exchange& served);

} // namespace fireflysail
