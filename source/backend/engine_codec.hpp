#pragma once

#include "backend/engine_messages.hpp"
#include "common/result.hpp"

#include <string>
#include <string_view>

namespace fireflysail
{

std::string encode_generate_request(const generate_request& request);

/// errc::malformed if it is no event of the protocol.
result<engine_event> decode_engine_event(std::string_view json);

/// errc::malformed if it is no status of the protocol.
result<engine_status> decode_engine_status(std::string_view json);

} // namespace fireflysail
