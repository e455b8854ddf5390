#include "engine_model.hpp"

#include "common/hash.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace fireflysail
{

std::string stand_in_token(std::string_view prompt, std::uint32_t index)
{
    return fmt::format(" {}.{}", index, stable_hash(prompt, index) % 1000);
}

std::string stand_in_answer(std::string_view prompt, std::uint32_t count)
{
    std::string answer;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        answer += stand_in_token(prompt, i);
    }
    return answer;
}

std::uint32_t stand_in_prompt_tokens(std::string_view prompt)
{
    constexpr std::size_t bytes_per_token = 4;
    return static_cast<std::uint32_t>(
        std::max<std::size_t>(1, prompt.size() / bytes_per_token));
}

} // namespace fireflysail
