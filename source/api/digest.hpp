#pragma once

#include <string>
#include <string_view>

namespace fireflysail
{

/// SHA-256 in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

/// Compares in a time that depends on the lengths only.
bool equal_in_constant_time(std::string_view a, std::string_view b);

} // namespace fireflysail
