#include "rpc_overhead.hpp"

#include "common/invariant.hpp"
#include "peer/peer_dispatcher.hpp"
#include "peer/rpc_client.hpp"
#include "peer/rpc_server.hpp"

#include <chrono>
#include <string>

namespace fireflysail::benchmarks
{

namespace
{

constexpr std::chrono::milliseconds timeout{5000};

} // namespace

rpc_overhead measure_rpc_overhead()
{
    const peer_keys keys{{"a key of the benchmarks"}};
    const std::string params = R"({"a":1})";
    peer_dispatcher dispatcher;
    dispatcher.add(
        peer_method::gossip,
        [](std::string_view) -> result<std::string>
        {
            return std::string{R"({"b":2})"};
        });
    const auto server = rpc_server::start(
        {{"127.0.0.1", 0}, {"127.0.0.1", 0}}, keys, dispatcher);
    ensure(server.has_value(), "loopback can be bound");
    rpc_client client{instance_id{"cairo-south-123"}, keys};
    const endpoint to = server.value()->address();
    // The first call is refused once, and learns the server's session.
    const auto first = client.call(to, "gossip", params, timeout);
    ensure(first.has_value(), "a call over loopback is answered");
    const rpc_client_counts before = client.counts();
    const auto second = client.call(to, "gossip", params, timeout);
    ensure(second.has_value(), "a call over loopback is answered");
    const rpc_client_counts after = client.counts();
    return {
        after.bytes_sent - before.bytes_sent - params.size(),
        after.bytes_received - before.bytes_received - second.value().size()};
}

} // namespace fireflysail::benchmarks
