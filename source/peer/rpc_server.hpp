#pragma once

#include "blackboard/fleet.hpp"
#include "common/result.hpp"
#include "peer/message_authenticator.hpp"
#include "peer/peer_dispatcher.hpp"
#include "peer/replay_guard.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace fireflysail
{

class json_rpc_listener;

struct rpc_server_config
{
    /// Address to bind; port 0 takes any free port.
    endpoint listen;
    /// Address that peers call, which they sign; port 0 for the bound one.
    endpoint advertised;
    unsigned threads = 4;
    unsigned max_connections = 1024;
};

struct rpc_server_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t not_authentic = 0;
    std::uint64_t replayed = 0;
};

/// Serves the methods of a dispatcher to authenticated peers until destroyed.
class rpc_server
{
public:
    /// `dispatcher` must be complete and outlive the server. Errors:
    /// errc::unavailable when the address cannot be bound.
    static result<std::unique_ptr<rpc_server>> start(
        const rpc_server_config& config,
        const peer_keys& keys,
        const peer_dispatcher& dispatcher);

    ~rpc_server();

    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// The address that peers call, with the port bound.
    endpoint address() const;

    rpc_server_counts counts() const;

private:
    rpc_server(
        const rpc_server_config& config,
        const peer_keys& keys,
        const peer_dispatcher& dispatcher);

    void listen(const rpc_server_config& config);

    message_authenticator authenticator;
    replay_guard replays;
    const peer_dispatcher& dispatcher;
    std::string advertised_host;
    /// Zero until the port is known; until then nothing is authentic.
    std::atomic<int> advertised_port;
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> not_authentic{0};
    std::atomic<std::uint64_t> replayed{0};
    /// Last, so that its threads end before what they use.
    std::unique_ptr<json_rpc_listener> listener;
};

} // namespace fireflysail
