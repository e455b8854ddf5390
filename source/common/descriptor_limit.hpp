#pragma once

#include <cstdint>

namespace fireflysail
{

/// Raises the limit of open descriptors to `wanted` as far as the system
/// allows, and returns how many of these the process may open.
std::uint32_t raise_descriptor_limit(std::uint32_t wanted);

} // namespace fireflysail
