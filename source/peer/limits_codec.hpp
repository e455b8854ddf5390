#pragma once

#include "common/result.hpp"
#include "limits/limit_messages.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace fireflysail
{

using limits_request = std::variant<demand_message, claim_message>;

/// JSON of the messages of peer_method::limits; docs/protocols/peers.md has
/// the fields. Decoding gives errc::malformed for anything else.
std::string encode(const demand_message& message);
std::string encode(const lease_message& message);
std::string encode(const claim_message& message);
std::string encode(const claim_reply& message);
result<limits_request> decode_limits_request(std::string_view text);
result<lease_message> decode_lease_message(std::string_view text);
result<claim_reply> decode_claim_reply(std::string_view text);

} // namespace fireflysail
