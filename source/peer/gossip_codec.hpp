#pragma once

#include "common/result.hpp"
#include "membership/membership_messages.hpp"

#include <string>
#include <string_view>

namespace fireflysail
{

/// JSON of the messages of peer_method::gossip; docs/protocols/peers.md has
/// the fields. Decoding gives errc::malformed for anything else.
std::string encode(const gossip_request& request);
std::string encode(const gossip_reply& reply);
result<gossip_request> decode_gossip_request(std::string_view text);
result<gossip_reply> decode_gossip_reply(std::string_view text);

} // namespace fireflysail
