#pragma once

#include "blackboard/fleet.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflysail
{

/// One stage of a pipeline as it is told to the engines.
struct stage_address
{
    server_id server;
    endpoint address;
    layer_range layers;
};

/// Asks a pipeline to generate the answer from one position on.
struct generate_request
{
    request_id request;
    attempt_id attempt;
    model_id model;
    model_version version;
    std::optional<adapter_id> adapter;
    std::string prompt;
    token_count max_tokens;
    std::uint32_t priority = 0;
    /// Position of the first token wanted; the ones before are in `delivered`.
    token_index from;
    std::vector<std::string> delivered;
    /// Covers all layers of the model, in order.
    std::vector<stage_address> stages;
};

/// Layers that one backend server ran for one token.
struct executed_range
{
    server_id server;
    layer_range layers;

    auto operator<=>(const executed_range&) const = default;
};

struct token_event
{
    request_id request;
    attempt_id attempt;
    token_index index;
    std::string text;
    std::vector<executed_range> executed;
};

enum class finish_reason
{
    length,
    stop,
};

struct end_event
{
    request_id request;
    attempt_id attempt;
    finish_reason reason = finish_reason::length;
    token_count tokens;
};

/// The pipeline cannot go on; `server` is the stage at fault if known.
struct stage_error_event
{
    request_id request;
    attempt_id attempt;
    std::string code;
    server_id server;
};

using engine_event = std::variant<token_event, end_event, stage_error_event>;

/// What an engine says of itself.
struct engine_status
{
    load_report load;
    std::vector<holding> holdings;
};

} // namespace fireflysail
