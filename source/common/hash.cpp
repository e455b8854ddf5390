#include "common/hash.hpp"

#include <xxhash.h>

namespace fireflysail
{

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view node)
{
    return stable_hash(node, stable_hash(key));
}

} // namespace fireflysail
