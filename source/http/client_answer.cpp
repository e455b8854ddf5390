#include "http/client_answer.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <string_view>

namespace fireflysail
{

namespace
{

constexpr int first_final_status = 200;

bool is_token_character(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
           marks.find(character) != std::string_view::npos;
}

bool is_field_name(std::string_view name)
{
    return !name.empty() && std::ranges::all_of(name, is_token_character);
}

} // namespace

bool has_sound_head(const httplib::Response& answer)
{
    return answer.status >= first_final_status &&
           std::ranges::all_of(
               answer.headers,
               [](const auto& field)
               {
                   return is_field_name(field.first);
               });
}

} // namespace fireflysail
