#pragma once

#include "routing/pipeline.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace fireflysail
{

/// Hints about which engines hold which prompt prefixes in their cache, from
/// requests of this instance and from cache events. A hint may be missing or
/// outdated: events arrive late and with gaps, and a new hint may overwrite an
/// earlier one. Lock-free.
class prefix_affinity
{
public:
    void remember(std::uint64_t prefix, const pipeline& used);

    void remember(std::uint64_t prefix, std::uint64_t server_key);

    void forget(std::uint64_t prefix, std::uint64_t server_key);

    /// Whether every stage is believed to hold the prefix.
    bool likely_cached(std::uint64_t prefix, const pipeline& candidate) const;

    /// Rendezvous hash weight, by which entry instances send a prefix to the
    /// same pipeline without coordination.
    static std::uint64_t
    weight(std::uint64_t prefix, const pipeline& candidate);

private:
    static constexpr std::size_t hint_count = 16'384;

    static std::uint64_t tag(std::uint64_t prefix, std::uint64_t server_key);

    std::array<std::atomic<std::uint64_t>, hint_count> tags{};
};

} // namespace fireflysail
