#pragma once

#include "serving/completion_request.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace fireflysail
{

enum class completion_shape
{
    text,
    chat,
};

struct completion_limits
{
    std::uint32_t max_prompt_bytes = 0;
    std::uint32_t max_tokens = 0;
};

/// What the body of a completion asks for.
struct completion_body
{
    model_id model;
    adapter_id adapter;
    std::string prompt;
    token_count max_tokens;
    bool stream = false;
};

/// Why a body is not taken; for the caller.
struct body_mistake
{
    std::string message;
};

std::variant<completion_body, body_mistake> parse_completion(
    std::string_view body,
    completion_shape shape,
    const completion_limits& limits);

/// The whole answer.
std::string encode_answer(
    completion_shape shape,
    const completion_request& request,
    const completion_report& report,
    std::string_view text);

/// Makes the events of one streamed answer.
class chunk_encoder
{
public:
    chunk_encoder(completion_shape shape, const completion_request& request);

    /// Event with the text of one token, separator included.
    std::string token(std::string_view text) const;

    /// Event that ends the answer and says why.
    std::string finish(finish_reason reason) const;

private:
    std::string before_text;
    std::string after_text;
    std::string before_reason;
    std::string after_reason;
};

} // namespace fireflysail
