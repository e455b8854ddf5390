#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// One fault of a settings document, with the path of the value at fault.
struct settings_mistake
{
    std::string path;
    std::string reason;

    auto operator<=>(const settings_mistake&) const = default;
};

/// Reads the members of one JSON object, notes every mistake, and reports on
/// finish() the members that nobody asked for.
class object_reader
{
public:
    object_reader(
        const nlohmann::json& object,
        std::string path,
        std::vector<settings_mistake>& mistakes);

    /// Reader of a member object; of an empty one if it is missing or wrong.
    object_reader child(const std::string& key);

    /// Members of an array of objects; `key` may be missing.
    std::vector<object_reader> children(const std::string& key);

    std::string required_text(const std::string& key);
    std::string text(const std::string& key, std::string missing);

    /// Integer within [lowest, highest].
    std::int64_t integer(
        const std::string& key,
        std::int64_t missing,
        std::int64_t lowest,
        std::int64_t highest);

    std::int64_t required_integer(
        const std::string& key, std::int64_t lowest, std::int64_t highest);

    /// Number above zero.
    double positive_number(const std::string& key, double missing);

    std::chrono::milliseconds milliseconds(
        const std::string& key,
        std::chrono::milliseconds missing,
        std::chrono::milliseconds lowest,
        std::chrono::milliseconds highest);

    void mistake(const std::string& key, std::string reason);

    /// Reports unknown members.
    void finish();

    std::string path_of(const std::string& key) const;

private:
    const nlohmann::json* find(const std::string& key);
    std::int64_t checked_integer(
        const std::string& key,
        const nlohmann::json& value,
        std::int64_t missing,
        std::int64_t lowest,
        std::int64_t highest);

    const nlohmann::json* object;
    std::string path;
    std::vector<settings_mistake>* mistakes;
    std::set<std::string> known;
};

} // namespace fireflysail
