#pragma once

#include "notices/notice.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fireflysail
{

/// Whether the datagram is in CBOR; all other messages are JSON objects.
bool is_demand(std::string_view datagram);

/// A CBOR array, as each instance sends and receives several of these a second:
/// sender, round, step, instances covered, age in ms, and an array of rows for
/// each demand_subject. A row is its id followed by its counts: those in flight
/// as they are, rates in tenths a second, response times in ms a second.
std::string encode_demand(const demand_notice& told);

/// Nothing for what is no such message.
std::optional<demand_notice> decode_demand(std::string_view datagram);

} // namespace fireflysail
