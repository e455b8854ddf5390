#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// A validation error in a document and the path of the field that it concerns.
struct mistake
{
    std::string path;
    std::string problem;

    auto operator<=>(const mistake&) const = default;
};

/// Reads the fields of one JSON object by name. A missing or invalid field is
/// reported in the mistakes and read as the default value of its type.
class field_reader
{
public:
    field_reader(
        const nlohmann::json& object,
        std::string path,
        std::vector<mistake>& mistakes);

    bool has(std::string_view name) const;

    std::string string(std::string_view name);

    /// Reads a name that is safe in a URL: 1 to 128 characters of
    /// [A-Za-z0-9._-].
    std::string identifier(std::string_view name);

    std::vector<std::string> identifiers(std::string_view name);

    std::uint64_t unsigned_integer(std::string_view name, std::uint64_t max);

    /// Reads a finite number that is not negative.
    double non_negative_number(std::string_view name);

    bool boolean(std::string_view name);

    /// Returns the field without checking its type. Returns null and reports a
    /// mistake if the field is missing.
    const nlohmann::json* child(std::string_view name);

    std::string path_of(std::string_view name) const;

    void report(std::string_view name, std::string problem);

    /// Reports every field that has not been read.
    void reject_unknown_fields();

private:
    const nlohmann::json* find(std::string_view name);

    const nlohmann::json& object;
    std::string path;
    std::vector<mistake>& mistakes;
    std::vector<std::string> accessed;
};

bool is_identifier(std::string_view text);

/// Parses a JSON object. Returns nothing and reports a mistake if the text is
/// anything else.
std::optional<nlohmann::json>
parse_object(std::string_view text, std::vector<mistake>& mistakes);

} // namespace fireflysail
