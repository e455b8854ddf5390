#pragma once

#include "notices/notice.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fireflysail
{

/// One datagram: a JSON object with `from`, `server` and `news`.
std::string encode(const notice& told);

/// Nothing for what is no notice.
std::optional<notice> decode_notice(std::string_view datagram);

} // namespace fireflysail
