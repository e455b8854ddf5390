#pragma once

#include "relay/plain_attempt.hpp"

#include <vector>

namespace fireflysail
{

/// A copy of a request that ended by itself, and its server.
struct ended_copy
{
    service_server server;
    attempt_result result;
};

/// Makes one attempt at the server. An idempotent request that is not answered
/// in time gets a second copy at another server, if the limits allow it.
/// Returns the copy that was answered first, or else all that were made; none
/// of them runs any more.
asio::awaitable<std::vector<ended_copy>> attempt_hedged(
    exchange& served,
    const service_server& server,
    work_kind work,
    const std::vector<server_id>& excluded);

} // namespace fireflysail
