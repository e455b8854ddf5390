#pragma once

#include "backend/engine_messages.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail
{

enum class event_verdict
{
    /// The next token of the answer, run by every layer once and in order.
    accepted,
    /// Of another request or attempt: late or crossed; to be dropped.
    foreign,
    /// A position that was delivered already; to be dropped.
    repeated,
    /// A position beyond the next one: an earlier token was lost.
    gap,
    /// The executed layers are not those of the pipeline, once and in order.
    wrong_layers,
};

/// Checks the events of one attempt before a byte of them goes to the caller.
class answer_checker
{
public:
    explicit answer_checker(const generate_request& request);

    event_verdict check(const token_event& event);

    /// Whether an end or error event belongs to this attempt.
    bool is_own(const request_id& request, const attempt_id& attempt) const;

    /// Position of the next token wanted.
    token_index next() const;

private:
    bool layers_match(const std::vector<executed_range>& executed) const;

    request_id request;
    attempt_id attempt;
    std::vector<stage_address> stages;
    token_index next_index;
};

} // namespace fireflysail
