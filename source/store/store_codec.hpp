#pragma once

#include "store/store.hpp"

#include <string>
#include <string_view>

namespace fireflysail
{

/// Escapes everything but unreserved characters, so that any name is one
/// segment of a path or one value of a query.
std::string percent_encode(std::string_view text);

/// Readers of the store's JSON answers; errc::malformed for anything that the
/// protocol does not allow.
result<stored_object> parse_object(std::string_view body);
result<store_snapshot> parse_snapshot(std::string_view body);
result<watch_batch> parse_watch_batch(std::string_view body);
result<revision> parse_written(std::string_view body);

/// Whether an error answer says in so many words that the call was refused
/// before it had any effect.
bool says_unavailable(std::string_view body);

} // namespace fireflysail
