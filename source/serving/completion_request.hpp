#pragma once

#include "backend/engine_messages.hpp"
#include "blackboard/lists.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"
#include "routing/outcome.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fireflysail
{

/// A caller's wish for a generated answer.
struct completion_request
{
    request_id id;
    workspace_id workspace;
    request_class priority = request_class::standard;
    /// Share of the workspace's plan against others.
    double weight = 1;
    model_id model;
    std::optional<model_version> version;
    adapter_id adapter;
    std::string prompt;
    token_count max_tokens;
    time_point deadline;
};

/// Hash of what decides how a backend server fares with the request.
fingerprint fingerprint_of(const completion_request& request);

/// Tokens that a prompt is taken to have; only the engine knows.
std::uint32_t expected_prompt_tokens(std::string_view prompt);

/// Takes the answer of one request.
class completion_sink
{
public:
    virtual ~completion_sink() = default;

    /// The next token; returns false when the caller is gone.
    virtual bool on_token(token_index index, const std::string& text) = 0;

    /// Whether the caller still waits.
    virtual bool present() = 0;
};

/// How a request went.
struct completion_report
{
    outcome how;
    finish_reason reason = finish_reason::length;
    token_count delivered;
    std::uint32_t attempts = 0;
    std::uint32_t resumes = 0;
    std::uint32_t dropped_events = 0;
};

} // namespace fireflysail
