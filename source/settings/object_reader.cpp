#include "settings/object_reader.hpp"

#include <fmt/format.h>

#include <utility>

namespace fireflysail
{

namespace
{

const nlohmann::json empty_object = nlohmann::json::object();

} // namespace

object_reader::object_reader(
    const nlohmann::json& object,
    std::string path,
    std::vector<settings_mistake>& mistakes)
    : object{&object}
    , path{std::move(path)}
    , mistakes{&mistakes}
{
    if (!object.is_object())
    {
        mistakes.push_back({this->path, "must be an object"});
        this->object = &empty_object;
    }
}

std::string object_reader::path_of(const std::string& key) const
{
    return this->path + "/" + key;
}

void object_reader::mistake(const std::string& key, std::string reason)
{
    this->mistakes->push_back({this->path_of(key), std::move(reason)});
}

const nlohmann::json* object_reader::find(const std::string& key)
{
    this->known.insert(key);
    const auto member = this->object->find(key);
    return member == this->object->end() ? nullptr : &*member;
}

object_reader object_reader::child(const std::string& key)
{
    const auto* member = this->find(key);
    if (member == nullptr)
    {
        return {empty_object, this->path_of(key), *this->mistakes};
    }
    return {*member, this->path_of(key), *this->mistakes};
}

std::vector<object_reader> object_reader::children(const std::string& key)
{
    std::vector<object_reader> readers;
    const auto* member = this->find(key);
    if (member == nullptr)
    {
        return readers;
    }
    if (!member->is_array())
    {
        this->mistake(key, "must be an array");
        return readers;
    }
    for (std::size_t i = 0; i < member->size(); ++i)
    {
        readers.emplace_back(
            (*member)[i],
            fmt::format("{}/{}", this->path_of(key), i),
            *this->mistakes);
    }
    return readers;
}

std::string object_reader::required_text(const std::string& key)
{
    const auto* member = this->find(key);
    if (member == nullptr)
    {
        this->mistake(key, "is missing");
        return {};
    }
    if (!member->is_string() || member->get_ref<const std::string&>().empty())
    {
        this->mistake(key, "must be a string that is not empty");
        return {};
    }
    return member->get<std::string>();
}

std::string object_reader::text(const std::string& key, std::string missing)
{
    return this->find(key) == nullptr ? std::move(missing)
                                      : this->required_text(key);
}

std::int64_t object_reader::checked_integer(
    const std::string& key,
    const nlohmann::json& value,
    std::int64_t missing,
    std::int64_t lowest,
    std::int64_t highest)
{
    if (!value.is_number_integer())
    {
        this->mistake(key, "must be an integer");
        return missing;
    }
    const bool too_large =
        value.is_number_unsigned() &&
        value.get<std::uint64_t>() > static_cast<std::uint64_t>(highest);
    if (too_large || value.get<std::int64_t>() < lowest ||
        value.get<std::int64_t>() > highest)
    {
        this->mistake(
            key, fmt::format("must be within {} and {}", lowest, highest));
        return missing;
    }
    return value.get<std::int64_t>();
}

std::int64_t object_reader::integer(
    const std::string& key,
    std::int64_t missing,
    std::int64_t lowest,
    std::int64_t highest)
{
    const auto* member = this->find(key);
    return member == nullptr
               ? missing
               : this->checked_integer(key, *member, missing, lowest, highest);
}

std::int64_t object_reader::required_integer(
    const std::string& key, std::int64_t lowest, std::int64_t highest)
{
    const auto* member = this->find(key);
    if (member == nullptr)
    {
        this->mistake(key, "is missing");
        return lowest;
    }
    return this->checked_integer(key, *member, lowest, lowest, highest);
}

double object_reader::positive_number(const std::string& key, double missing)
{
    const auto* member = this->find(key);
    if (member == nullptr)
    {
        return missing;
    }
    if (!member->is_number() || member->get<double>() <= 0)
    {
        this->mistake(key, "must be a number above zero");
        return missing;
    }
    return member->get<double>();
}

std::chrono::milliseconds object_reader::milliseconds(
    const std::string& key,
    std::chrono::milliseconds missing,
    std::chrono::milliseconds lowest,
    std::chrono::milliseconds highest)
{
    return std::chrono::milliseconds{
        this->integer(key, missing.count(), lowest.count(), highest.count())};
}

void object_reader::finish()
{
    for (const auto& [key, value] : this->object->items())
    {
        if (!this->known.contains(key))
        {
            this->mistake(key, "is not a known setting");
        }
    }
}

} // namespace fireflysail
