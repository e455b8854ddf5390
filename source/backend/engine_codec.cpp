#include "backend/engine_codec.hpp"

#include "common/error.hpp"
#include "common/json_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace fireflysail
{

namespace
{

using nlohmann::json;

json encode_stage(const stage_address& stage)
{
    return {
        {"server", stage.server.str()},
        {"host", stage.address.host},
        {"port", stage.address.port},
        {"first", stage.layers.first.value()},
        {"last", stage.layers.last.value()}};
}

// The accessors below throw on a missing member or a wrong type; the public
// functions turn that into errc::malformed in one place.
std::uint32_t read_u32(const json& object, const char* key)
{
    const json& member = object.at(key);
    if (!member.is_number_unsigned() ||
        member.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    {
        throw std::out_of_range{key};
    }
    return member.get<std::uint32_t>();
}

std::string read_text(const json& object, const char* key)
{
    return object.at(key).get<std::string>();
}

layer_range read_layers(const json& object)
{
    return {
        layer_index{read_u32(object, "first")},
        layer_index{read_u32(object, "last")}};
}

token_event read_token(const json& object)
{
    token_event event;
    event.request = request_id{read_text(object, "request_id")};
    event.attempt = attempt_id{read_text(object, "attempt_id")};
    event.index = token_index{read_u32(object, "index")};
    event.text = read_text(object, "text");
    for (const json& range : object.at("ranges"))
    {
        event.executed.push_back(
            {server_id{read_text(range, "server")}, read_layers(range)});
    }
    return event;
}

end_event read_end(const json& object)
{
    end_event event;
    event.request = request_id{read_text(object, "request_id")};
    event.attempt = attempt_id{read_text(object, "attempt_id")};
    event.reason = read_text(object, "reason") == "stop"
                       ? finish_reason::stop
                       : finish_reason::length;
    event.tokens = token_count{read_u32(object, "tokens")};
    return event;
}

stage_error_event read_stage_error(const json& object)
{
    stage_error_event event;
    event.request = request_id{read_text(object, "request_id")};
    event.attempt = attempt_id{read_text(object, "attempt_id")};
    event.code = read_text(object, "code");
    event.server = server_id{object.value("server", "")};
    return event;
}

result<engine_event> read_event(const json& object)
{
    const auto type = read_text(object, "type");
    if (type == "token")
    {
        return engine_event{read_token(object)};
    }
    if (type == "end")
    {
        return engine_event{read_end(object)};
    }
    if (type == "error")
    {
        return engine_event{read_stage_error(object)};
    }
    return make_error_code(errc::malformed);
}

holding read_holding(const json& object)
{
    holding held;
    held.model = model_id{read_text(object, "model")};
    held.version = model_version{read_text(object, "version")};
    held.layers = read_layers(object);
    for (const json& adapter : object.at("adapters"))
    {
        held.adapters.emplace_back(adapter.get<std::string>());
    }
    return held;
}

engine_status read_status(const json& object)
{
    engine_status status;
    status.load.running = read_u32(object, "running");
    status.load.waiting = read_u32(object, "waiting");
    status.load.slots = read_u32(object, "slots");
    status.load.free_kv = token_count{read_u32(object, "free_kv")};
    status.load.step_time =
        std::chrono::microseconds{read_u32(object, "step_us")};
    status.load.prefill_time_per_token =
        std::chrono::microseconds{read_u32(object, "prefill_us")};
    std::ranges::transform(
        object.at("holdings"),
        std::back_inserter(status.holdings),
        read_holding);
    return status;
}

} // namespace

std::string encode_generate_request(const generate_request& request)
{
    json stages = json::array();
    for (const auto& stage : request.stages)
    {
        stages.push_back(encode_stage(stage));
    }
    json body{
        {"request_id", request.request.str()},
        {"attempt_id", request.attempt.str()},
        {"model", request.model.str()},
        {"version", request.version.str()},
        {"prompt", request.prompt},
        {"max_tokens", request.max_tokens.value()},
        {"priority", request.priority},
        {"from_index", request.from.value()},
        {"delivered", request.delivered},
        {"stages", std::move(stages)}};
    if (request.adapter)
    {
        body["adapter"] = request.adapter->str();
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<engine_event> decode_engine_event(std::string_view text)
{
    try
    {
        return read_event(parse_json(text));
    }
    catch (const std::exception&)
    {
        return make_error_code(errc::malformed);
    }
}

result<engine_status> decode_engine_status(std::string_view text)
{
    try
    {
        return read_status(parse_json(text));
    }
    catch (const std::exception&)
    {
        return make_error_code(errc::malformed);
    }
}

} // namespace fireflysail
