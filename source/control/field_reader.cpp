#include "control/field_reader.hpp"
#include "common/json_text.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr std::size_t max_identifier_length = 128;

bool is_identifier_character(char c)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
           c == '_' || c == '-';
}

} // namespace

bool is_identifier(std::string_view text)
{
    return !text.empty() && text.size() <= max_identifier_length &&
           std::ranges::all_of(text, is_identifier_character);
}

std::optional<nlohmann::json>
parse_object(std::string_view text, std::vector<mistake>& mistakes)
{
    auto document = parse_json(text);
    if (!document.is_object())
    {
        mistakes.push_back({"", "must be a JSON object"});
        return std::nullopt;
    }
    return document;
}

field_reader::field_reader(
    const nlohmann::json& object,
    std::string path,
    std::vector<mistake>& mistakes)
    : object{object}
    , path{std::move(path)}
    , mistakes{mistakes}
{
}

bool field_reader::has(std::string_view name) const
{
    return this->object.contains(name);
}

std::string field_reader::string(std::string_view name)
{
    const auto* field = this->find(name);
    if (field == nullptr)
    {
        return {};
    }
    if (!field->is_string())
    {
        this->report(name, "must be a string");
        return {};
    }
    return field->get<std::string>();
}

std::string field_reader::identifier(std::string_view name)
{
    auto value = this->string(name);
    const auto* field = this->find(name);
    if (field != nullptr && field->is_string() && !is_identifier(value))
    {
        this->report(name, "must be 1 to 128 characters of [A-Za-z0-9._-]");
    }
    return value;
}

std::vector<std::string> field_reader::identifiers(std::string_view name)
{
    const auto* field = this->find(name);
    if (field == nullptr)
    {
        return {};
    }
    if (!field->is_array())
    {
        this->report(name, "must be an array");
        return {};
    }
    std::vector<std::string> values;
    for (const auto& element : *field)
    {
        if (!element.is_string() ||
            !is_identifier(element.get_ref<const std::string&>()))
        {
            this->report(
                name,
                "every element must be a string of 1 to 128 characters of "
                "[A-Za-z0-9._-]");
            return {};
        }
        values.push_back(element.get<std::string>());
    }
    return values;
}

std::uint64_t
field_reader::unsigned_integer(std::string_view name, std::uint64_t max)
{
    const auto* field = this->find(name);
    if (field == nullptr)
    {
        return 0;
    }
    const bool is_unsigned =
        field->is_number_integer() &&
        (field->is_number_unsigned() || field->get<std::int64_t>() >= 0);
    if (!is_unsigned || field->get<std::uint64_t>() > max)
    {
        this->report(
            name, "must be an integer from 0 to " + std::to_string(max));
        return 0;
    }
    return field->get<std::uint64_t>();
}

double field_reader::non_negative_number(std::string_view name)
{
    const auto* field = this->find(name);
    if (field == nullptr)
    {
        return 0;
    }
    const double value = field->is_number() ? field->get<double>() : -1;
    if (!std::isfinite(value) || value < 0)
    {
        this->report(name, "must be a finite, non-negative number");
        return 0;
    }
    return value;
}

bool field_reader::boolean(std::string_view name)
{
    const auto* field = this->find(name);
    if (field == nullptr)
    {
        return false;
    }
    if (!field->is_boolean())
    {
        this->report(name, "must be true or false");
        return false;
    }
    return field->get<bool>();
}

const nlohmann::json* field_reader::child(std::string_view name)
{
    return this->find(name);
}

std::string field_reader::path_of(std::string_view name) const
{
    return this->path.empty() ? std::string{name}
                              : this->path + "." + std::string{name};
}

void field_reader::report(std::string_view name, std::string problem)
{
    this->mistakes.push_back({this->path_of(name), std::move(problem)});
}

void field_reader::reject_unknown_fields()
{
    for (const auto& item : this->object.items())
    {
        if (std::ranges::find(this->accessed, item.key()) ==
            this->accessed.end())
        {
            this->report(item.key(), "is not a known field");
        }
    }
}

const nlohmann::json* field_reader::find(std::string_view name)
{
    this->accessed.emplace_back(name);
    const auto field = this->object.find(name);
    if (field == this->object.end())
    {
        this->report(name, "is missing");
        return nullptr;
    }
    return &*field;
}

} // namespace fireflysail
