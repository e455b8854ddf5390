#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// Nesting of arrays and objects above which a document is not read. Copying,
/// comparing and writing a document take stack space for each level.
inline constexpr std::size_t max_json_depth = 64;

/// The document, or a discarded value if it is not JSON or nested too deeply.
nlohmann::json parse_json(std::string_view text);

struct json_member
{
    /// As it stands between the quotes, with escapes.
    std::string_view name;
    /// The text of the value, which need not be valid.
    std::string_view value;
};

/// The members of an object, none of which is read. None if the text is not
/// framed as an object. A document from many writers is split like this, so
/// that a value that cannot be read costs only itself.
std::optional<std::vector<json_member>> split_object(std::string_view text);

/// The elements of an array, like split_object().
std::optional<std::vector<std::string_view>> split_array(std::string_view text);

/// The value of a member of that name, the last one if there are many; empty
/// if there is none.
std::string_view
find_member(const std::vector<json_member>& members, std::string_view name);

} // namespace fireflysail
