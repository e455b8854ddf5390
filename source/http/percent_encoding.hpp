#pragma once

#include <string>
#include <string_view>

namespace fireflysail
{

/// Encodes everything but unreserved characters, '/' included.
std::string percent_encode(std::string_view text);

} // namespace fireflysail
