#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fireflysail
{

/// What a method answers: a JSON value, or a JSON-RPC error code with a text.
struct json_rpc_answer
{
    /// Zero for success.
    int error = 0;
    /// The JSON result, or the message of the error.
    std::string text;
};

struct json_rpc_listener_options
{
    /// An IPv4 or IPv6 number.
    std::string host;
    /// 0 takes any free port.
    int port = 0;
    unsigned threads = 4;
    unsigned max_connections = 1024;
    unsigned idle_timeout_seconds = 60;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    std::vector<std::string> methods;
};

/// Whether a request may be read at all.
enum class json_rpc_verdict
{
    accepted,
    not_authentic,
    /// Authentic, but received before.
    replayed,
};

struct json_rpc_admission
{
    json_rpc_verdict verdict = json_rpc_verdict::not_authentic;
    /// Sent back with a refusal, for the client to sign its next request.
    std::string challenge;
};

/// Called from the listener's threads, several at a time.
struct json_rpc_callbacks
{
    /// Checks the authentication header against the raw body; nothing of a
    /// refused body is parsed.
    std::function<json_rpc_admission(
        const std::string& authentication, const std::string& body)>
        admit;
    /// Authentication header of the reply to an admitted request.
    std::function<std::string(
        const std::string& authentication, const std::string& reply)>
        sign;
    /// Must be quick: it holds one of the listener's threads.
    std::function<json_rpc_answer(
        const std::string& method, const std::string& params)>
        handle;
};

/// JSON-RPC 2.0 over HTTP/1.1 by libjsonrpccpp and libmicrohttpd, bound to one
/// address, with a fixed number of threads. Stops when destroyed.
class json_rpc_listener
{
public:
    /// Throws nothing; a listener that could not bind has port 0.
    json_rpc_listener(
        json_rpc_listener_options options, json_rpc_callbacks callbacks);
    ~json_rpc_listener();

    json_rpc_listener(const json_rpc_listener&) = delete;
    json_rpc_listener& operator=(const json_rpc_listener&) = delete;

    /// The port bound, or 0 when the address could not be bound.
    int port() const;

private:
    class state;

    std::unique_ptr<state> self;
};

} // namespace fireflysail
