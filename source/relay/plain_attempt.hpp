#pragma once

#include "relay/exchange.hpp"

#include <vector>

namespace fireflysail
{

enum class attempt_end
{
    /// The whole answer is there.
    answered,
    /// The server states that nothing ran.
    refused,
    /// No connection; nothing was sent.
    unsent,
    /// Sent, without a whole answer that proves to be the server's.
    broken,
};

struct attempt_result
{
    attempt_end end = attempt_end::broken;
    http_response answer;
    answer_facts facts;
    bool has_header = false;
};

/// The answer says that the server failed.
bool is_server_error(const http_response& answer);

/// Sends one copy of the request to a server of a plain service and reads its
/// answer.
asio::awaitable<attempt_result> attempt_once(
    exchange& served,
    request_copy& copy,
    const service_server& server,
    work_kind work);

/// Null if no server of the service can take the request.
const service_server* choose_server(
    const exchange& served,
    const fleet_snapshot& fleet,
    std::vector<server_id> excluded,
    held_back left_out);

} // namespace fireflysail
