#include "routing/prefix_affinity.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

/// Finalizer of MurmurHash3: every bit of the input affects every bit of the
/// output.
constexpr std::uint64_t mix(std::uint64_t bits)
{
    bits ^= bits >> 33;
    bits *= 0xff51afd7ed558ccdULL;
    bits ^= bits >> 33;
    bits *= 0xc4ceb9fe1a85ec53ULL;
    bits ^= bits >> 33;
    return bits;
}

} // namespace

std::uint64_t
prefix_affinity::tag(std::uint64_t prefix, std::uint64_t server_key)
{
    return mix(mix(prefix) ^ server_key) | 1;
}

void prefix_affinity::remember(std::uint64_t prefix, const pipeline& used)
{
    for (const stage& part : used.stages)
    {
        this->remember(prefix, part.server_key);
    }
}

void prefix_affinity::remember(std::uint64_t prefix, std::uint64_t server_key)
{
    const std::uint64_t hint = tag(prefix, server_key);
    this->tags[hint / 2 % hint_count].store(hint, std::memory_order_relaxed);
}

void prefix_affinity::forget(std::uint64_t prefix, std::uint64_t server_key)
{
    std::uint64_t hint = tag(prefix, server_key);
    this->tags[hint / 2 % hint_count].compare_exchange_strong(
        hint, 0, std::memory_order_relaxed);
}

bool prefix_affinity::likely_cached(
    std::uint64_t prefix, const pipeline& candidate) const
{
    return std::ranges::all_of(
        candidate.stages,
        [&](const stage& part)
        {
            const std::uint64_t hint = tag(prefix, part.server_key);
            return this->tags[hint / 2 % hint_count].load(
                       std::memory_order_relaxed) == hint;
        });
}

std::uint64_t
prefix_affinity::weight(std::uint64_t prefix, const pipeline& candidate)
{
    return mix(mix(prefix) ^ candidate.key);
}

} // namespace fireflysail
