#pragma once

#include "common/identifiers.hpp"

#include <cstdint>

namespace fireflysail
{

/// Rises each time the store comes back from a copy that lacks changes which it
/// had acknowledged. The numbers of those changes are then given out again.
using store_era = strong_number<struct store_era_tag>;

/// Of a store that was never restored. Zero stands for one that names no eras.
inline constexpr store_era first_store_era{1};

/// A revision holds the era in its upper bits and the number of the change in
/// the lower ones: each revision of an era is later than all of those before.
inline constexpr unsigned change_number_bits = 40;
inline constexpr std::uint64_t max_change_number =
    (std::uint64_t{1} << change_number_bits) - 1;
inline constexpr std::uint64_t max_era =
    (std::uint64_t{1} << (64 - change_number_bits)) - 1;

/// Both numbers are within their limits.
constexpr revision make_revision(store_era era, std::uint64_t number)
{
    return revision{(era.value() << change_number_bits) | number};
}

constexpr store_era era_of(revision version)
{
    return store_era{version.value() >> change_number_bits};
}

constexpr std::uint64_t change_number_of(revision version)
{
    return version.value() & max_change_number;
}

} // namespace fireflysail
