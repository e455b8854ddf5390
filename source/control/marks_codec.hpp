#pragma once

#include "blackboard/fleet.hpp"
#include "common/result.hpp"
#include "control/lists_codec.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// The mark of one backend server and the store version that set it.
struct mark_record
{
    server_id server;
    server_mark mark = server_mark::serving;
    revision version;

    auto operator<=>(const mark_record&) const = default;
};

using mark_object = list_object<server_mark>;

/// Decodes a stored mark. Errors: errc::malformed if any field is invalid.
result<mark_object> decode_mark(std::string_view value, revision version);

/// Parses an operator's document, such as {"mark": "leaving"}.
server_mark
parse_mark(std::string_view document, std::vector<mistake>& mistakes);

/// JSON representation of a mark for operators.
nlohmann::json to_json(server_mark mark);

/// Encoding of the marks that instances exchange.
std::string encode(const std::vector<mark_record>& marks);
result<std::vector<mark_record>> decode_marks(std::string_view text);

} // namespace fireflysail
