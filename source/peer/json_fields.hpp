#pragma once

#include "common/error.hpp"
#include "common/json_text.hpp"
#include "common/result.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace fireflysail
{

/// Thrown by the readers below, and caught where a whole message is decoded.
class field_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Longest name of anything in a message between instances.
inline constexpr std::size_t max_name_bytes = 512;

inline std::string read_name(const nlohmann::json& field)
{
    if (!field.is_string() ||
        field.get_ref<const std::string&>().size() > max_name_bytes)
    {
        throw field_error{"not a name"};
    }
    return field.get<std::string>();
}

inline std::uint64_t read_unsigned(const nlohmann::json& field)
{
    if (!field.is_number_unsigned())
    {
        throw field_error{"not an unsigned integer"};
    }
    return field.get<std::uint64_t>();
}

inline std::uint32_t read_count(const nlohmann::json& field)
{
    const std::uint64_t number = read_unsigned(field);
    if (number > UINT32_MAX)
    {
        throw field_error{"too large"};
    }
    return static_cast<std::uint32_t>(number);
}

/// A finite number that is not negative.
inline double read_amount(const nlohmann::json& field)
{
    if (!field.is_number() || !(field.get<double>() >= 0))
    {
        throw field_error{"not an amount"};
    }
    return field.get<double>();
}

/// Checks that the field is an array of exactly `size` fields.
inline void require_tuple(const nlohmann::json& field, std::size_t size)
{
    if (!field.is_array() || field.size() != size)
    {
        throw field_error{"not an array of the right size"};
    }
}

/// The array of that name; an empty one when there is none.
inline nlohmann::json read_list(const nlohmann::json& message, const char* name)
{
    const auto found = message.find(name);
    if (found == message.end())
    {
        return nlohmann::json::array();
    }
    if (!found->is_array())
    {
        throw field_error{"not a list"};
    }
    return *found;
}

/// What `reader` makes of the JSON object in `text`, or errc::malformed.
template <class Reader>
auto decode_with(Reader reader, std::string_view text)
    -> result<decltype(reader(nlohmann::json{}))>
{
    const nlohmann::json message = parse_json(text);
    if (!message.is_object())
    {
        return make_error_code(errc::malformed);
    }
    try
    {
        return reader(message);
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(errc::malformed);
    }
    catch (const field_error&)
    {
        return make_error_code(errc::malformed);
    }
}

} // namespace fireflysail
