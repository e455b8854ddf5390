#pragma once

#include "common/clock.hpp"
#include "relay/backend_connection.hpp"
#include "routing/idle_connection_policy.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace fireflysail
{

struct backend_pool_counts
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t failed = 0;
    /// Idle connections found closed, or with bytes that nobody asked for.
    std::uint64_t spoiled = 0;
};

/// Kept connections to backend servers. Used by the traffic thread alone.
class backend_pool
{
public:
    backend_pool(asio::any_io_executor executor, const clock& time);

    /// A kept connection that may carry the work, or a new one that is not
    /// open yet.
    struct taken
    {
        std::unique_ptr<backend_connection> connection;
        bool is_open = false;
    };

    /// None of those in `without`.
    taken take(
        const endpoint& address,
        work_kind work,
        std::span<const connection_number> without = {});

    /// Keeps the connection for later if it may be kept.
    void give_back(std::unique_ptr<backend_connection> used);

    /// Closes all idle connections to the server.
    void close_idle_to(const endpoint& address);

    /// Closes what has been idle for too long.
    void close_idle();

    backend_pool_counts counts;

private:
    asio::any_io_executor executor;
    const clock& time;
    idle_connection_policy rule;
    connection_number last_number;
    absl::flat_hash_map<
        std::string,
        std::vector<std::unique_ptr<backend_connection>>>
        idle;
};

} // namespace fireflysail
