#pragma once

#include "notices/notice.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fireflysail
{

/// A JSON object: `from`, `server` and `news` of a notice, or `from`,
/// `config_revision` and `servers_revision` of progress. Demand is in CBOR: see
/// demand_codec.
std::string encode(const peer_message& message);

/// Nothing for what is no such message.
std::optional<peer_message> decode_message(std::string_view datagram);

} // namespace fireflysail
