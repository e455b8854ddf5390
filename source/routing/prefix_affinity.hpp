#pragma once

#include "routing/pipeline.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace fireflysail
{

/// Hints on which engines hold which prompt prefixes, from own requests and
/// from cache events. Hints may be wrong either way: events come late and with
/// gaps, and a later hint may push out an earlier one. No locks.
class prefix_affinity
{
public:
    void remember(std::uint64_t prefix, const pipeline& used);

    void remember(std::uint64_t prefix, std::uint64_t server_key);

    void forget(std::uint64_t prefix, std::uint64_t server_key);

    /// True when every stage seems to hold the prefix.
    bool likely_cached(std::uint64_t prefix, const pipeline& candidate) const;

    /// Rendezvous weight: entry instances that know nothing of one another
    /// send a prefix to the same pipeline.
    static std::uint64_t
    weight(std::uint64_t prefix, const pipeline& candidate);

private:
    static constexpr std::size_t hint_count = 16'384;

    static std::uint64_t tag(std::uint64_t prefix, std::uint64_t server_key);

    std::array<std::atomic<std::uint64_t>, hint_count> tags{};
};

} // namespace fireflysail
