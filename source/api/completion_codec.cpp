#include "api/completion_codec.hpp"

#include "common/json_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t default_max_tokens = 16;

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string_view name_of(finish_reason reason)
{
    return reason == finish_reason::stop ? "stop" : "length";
}

std::optional<std::string> read_chat_prompt(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
    {
        return std::nullopt;
    }
    std::string prompt;
    for (const json& message : *messages)
    {
        const bool sound = message.is_object() && message.contains("role") &&
                           message["role"].is_string() &&
                           message.contains("content") &&
                           message["content"].is_string();
        if (!sound)
        {
            return std::nullopt;
        }
        prompt += message["role"].get_ref<const std::string&>();
        prompt += ": ";
        prompt += message["content"].get_ref<const std::string&>();
        prompt += '\n';
    }
    return prompt;
}

std::optional<std::string> read_prompt(const json& body, completion_shape shape)
{
    if (shape == completion_shape::chat)
    {
        return read_chat_prompt(body);
    }
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string())
    {
        return std::nullopt;
    }
    return prompt->get<std::string>();
}

std::optional<std::uint64_t> read_max_tokens(const json& body)
{
    const auto given = body.find("max_tokens");
    if (given == body.end())
    {
        return default_max_tokens;
    }
    if (!given->is_number_unsigned() || given->get<std::uint64_t>() == 0)
    {
        return std::nullopt;
    }
    return given->get<std::uint64_t>();
}

json usage(const completion_report& report)
{
    return {{"completion_tokens", report.delivered.value()}};
}

} // namespace

std::variant<completion_body, body_mistake> parse_completion(
    std::string_view text,
    completion_shape shape,
    const completion_limits& limits)
{
    const auto body = parse_json(text);
    if (!body.is_object())
    {
        return body_mistake{"The body must be a JSON object."};
    }
    completion_body read;
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
    {
        return body_mistake{"\"model\" must be a string."};
    }
    read.model = model_id{model->get<std::string>()};
    auto prompt = read_prompt(body, shape);
    if (!prompt)
    {
        return body_mistake{
            shape == completion_shape::chat
                ? "\"messages\" must be a list of objects with \"role\" and "
                  "\"content\"."
                : "\"prompt\" must be a string."};
    }
    if (prompt->size() > limits.max_prompt_bytes)
    {
        return body_mistake{fmt::format(
            "The prompt must not be longer than {} bytes.",
            limits.max_prompt_bytes)};
    }
    read.prompt = std::move(*prompt);
    const auto max_tokens = read_max_tokens(body);
    if (!max_tokens || *max_tokens > limits.max_tokens)
    {
        return body_mistake{fmt::format(
            "\"max_tokens\" must be within 1 and {}.", limits.max_tokens)};
    }
    read.max_tokens = token_count{*max_tokens};
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
    {
        return body_mistake{"\"stream\" must be true or false."};
    }
    read.stream = stream != body.end() && stream->get<bool>();
    const auto adapter = body.find("adapter");
    if (adapter != body.end())
    {
        if (!adapter->is_string())
        {
            return body_mistake{"\"adapter\" must be a string."};
        }
        read.adapter = adapter_id{adapter->get<std::string>()};
    }
    return read;
}

std::string encode_answer(
    completion_shape shape,
    const completion_request& request,
    const completion_report& report,
    std::string_view text)
{
    json choice{{"index", 0}, {"finish_reason", name_of(report.reason)}};
    const bool chat = shape == completion_shape::chat;
    if (chat)
    {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    return dump(
        {{"id", request.id.str()},
         {"object", chat ? "chat.completion" : "text_completion"},
         {"model", request.model.str()},
         {"choices", json::array({std::move(choice)})},
         {"usage", usage(report)}});
}

chunk_encoder::chunk_encoder(
    completion_shape shape, const completion_request& request)
{
    // Everything but the text is the same in each event of a stream, so it is
    // made once: encoding is most of the cost of relaying a token.
    const bool chat = shape == completion_shape::chat;
    this->before_text = fmt::format(
        R"(data: {{"id":{},"object":"{}","model":{},"choices":[{{"index":0,)",
        dump(request.id.str()),
        chat ? "chat.completion.chunk" : "text_completion",
        dump(request.model.str()));
    this->before_reason =
        this->before_text + (chat ? R"("delta":{},"finish_reason":")"
                                  : R"("text":"","finish_reason":")");
    this->after_reason = "\"}]}\n\n";
    this->before_text += chat ? R"("delta":{"content":)" : R"("text":)";
    this->after_text = chat ? "},\"finish_reason\":null}]}\n\n"
                            : ",\"finish_reason\":null}]}\n\n";
}

std::string chunk_encoder::token(std::string_view text) const
{
    return this->before_text + dump(text) + this->after_text;
}

std::string chunk_encoder::finish(finish_reason reason) const
{
    return this->before_reason + std::string{name_of(reason)} +
           this->after_reason;
}

} // namespace fireflysail
