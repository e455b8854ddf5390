#pragma once

#include <functional>
#include <memory>
#include <string>

namespace fireflysail
{

enum class json_rpc_status
{
    answered,
    /// The method ran and answered with an error.
    method_error,
    /// The other side refused the authentication; nothing ran.
    refused,
    /// No connection: nothing reached the other side.
    not_sent,
    /// Sent, but no answer in time or the connection broke.
    no_answer,
    /// The answer is not authentic or not JSON-RPC.
    malformed,
    /// The parameters are not a JSON object; nothing was sent.
    invalid_params,
};

struct json_rpc_outcome
{
    json_rpc_status status = json_rpc_status::not_sent;
    /// The JSON result, the error's message, or the challenge of a refusal.
    std::string text;
    int error = 0;
    /// HTTP lines, headers and bodies; without those of TCP and IP.
    long bytes_sent = 0;
    long bytes_received = 0;
};

struct json_rpc_signing
{
    /// Authentication header for the raw body of the request.
    std::function<std::string(const std::string& body)> sign;
    /// Checks the authentication header of a reply against its raw body.
    std::function<bool(
        const std::string& authentication, const std::string& body)>
        verify;
};

/// One keep-alive connection to one peer; used by one thread at a time.
class json_rpc_connection
{
public:
    json_rpc_connection(const std::string& host, int port);
    ~json_rpc_connection();

    json_rpc_connection(const json_rpc_connection&) = delete;
    json_rpc_connection& operator=(const json_rpc_connection&) = delete;

    /// Blocks for at most `timeout_ms`.
    json_rpc_outcome call(
        const std::string& method,
        const std::string& params,
        long timeout_ms,
        const json_rpc_signing& signing);

private:
    class state;

    std::unique_ptr<state> self;
};

} // namespace fireflysail
