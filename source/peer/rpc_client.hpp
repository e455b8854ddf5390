#pragma once

#include "blackboard/fleet.hpp"
#include "common/identifiers.hpp"
#include "common/result.hpp"
#include "peer/message_authenticator.hpp"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace fireflysail
{

class json_rpc_connection;
struct json_rpc_outcome;

/// Bytes of HTTP and JSON in both directions, without those of TCP and IP.
struct rpc_client_counts
{
    std::uint64_t calls = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Calls methods of other instances; safe from many threads. Keeps a bounded
/// number of idle connections.
class rpc_client
{
public:
    rpc_client(const instance_id& self, const peer_keys& keys);
    ~rpc_client();

    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    /// Blocks for at most `timeout`. `params` is a JSON object, the value a
    /// JSON value. Errors: errc::unavailable (nothing was sent),
    /// errc::unknown_effect (no answer), errc::forbidden (the peer holds
    /// another key; nothing ran), errc::malformed, errc::invalid_argument, or
    /// the error that the handler answered.
    result<std::string> call(
        const endpoint& to,
        const std::string& method,
        const std::string& params,
        std::chrono::milliseconds timeout);

    rpc_client_counts counts() const;

private:
    struct peer_link
    {
        /// The receiver's session, from its last refusal.
        std::string session;
        std::uint64_t last_sequence = 0;
    };

    struct idle_connection
    {
        endpoint to;
        std::unique_ptr<json_rpc_connection> connection;
    };

    struct attempt
    {
        std::string session;
        std::uint64_t sequence = 0;
    };

    attempt next_attempt(const endpoint& to);
    void learn_session(const endpoint& to, const std::string& session);
    std::unique_ptr<json_rpc_connection> take_connection(const endpoint& to);
    void keep_connection(
        const endpoint& to, std::unique_ptr<json_rpc_connection> connection);
    void drop_connections(const endpoint& to);
    json_rpc_outcome call_once(
        json_rpc_connection& connection,
        const endpoint& to,
        const attempt& chosen,
        const std::string& method,
        const std::string& params,
        std::chrono::milliseconds timeout);

    const std::string sender;
    const message_authenticator authenticator;
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::mutex mutex;
    std::map<endpoint, peer_link> links;
    std::uint64_t highest_sequence = 0;
    /// Most recently used first.
    std::list<idle_connection> idle;
};

} // namespace fireflysail
