#pragma once

#include <cstddef>

namespace fireflysail::benchmarks
{

/// Bytes that HTTP, the authentication and JSON-RPC add to the parameters and
/// to the result of one call between instances.
struct rpc_overhead
{
    std::size_t request = 0;
    std::size_t reply = 0;
};

/// Measured by calls of the real client to the real server over loopback.
rpc_overhead measure_rpc_overhead();

} // namespace fireflysail::benchmarks
