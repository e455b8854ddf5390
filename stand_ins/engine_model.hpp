#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fireflysail
{

/// The text that every stand-in engine generates at position `index` for
/// `prompt`, so that anyone can tell what the whole answer must be.
std::string stand_in_token(std::string_view prompt, std::uint32_t index);

/// The whole answer of `count` tokens.
std::string stand_in_answer(std::string_view prompt, std::uint32_t count);

/// Number of tokens of a prompt: one for each four bytes, and at least one.
std::uint32_t stand_in_prompt_tokens(std::string_view prompt);

} // namespace fireflysail
