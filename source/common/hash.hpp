#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace fireflysail
{

/// 64-bit hash that is the same in every process and on every machine.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Rendezvous weight of `node` for `key`; the node with the highest weight
/// owns the key, and losing a node moves only the keys that it owned.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view node);

} // namespace fireflysail
