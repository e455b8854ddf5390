#pragma once

#include "common/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace fireflysail
{

/// Servers that said in an answer that they leave. The word holds for the boot
/// that gave it, whatever the store says of that boot before or after.
class leaving_servers
{
public:
    static constexpr std::size_t max_servers = 4'096;

    /// Returns false if this was known. Forgets the oldest one if there are too
    /// many. `boot` is the start time that the server's entry states.
    bool add(const server_id& server, std::uint64_t boot);

    bool contains(const server_id& server, std::uint64_t boot) const;

    /// The server is listed with this boot: returns true if another one of it
    /// was leaving, which is forgotten.
    bool on_boot(const server_id& server, std::uint64_t boot);

    std::size_t size() const;

private:
    struct record
    {
        server_id server;
        std::uint64_t boot = 0;
    };

    std::deque<record> records;
};

} // namespace fireflysail
