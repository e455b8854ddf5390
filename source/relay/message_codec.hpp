#pragma once

#include "backend/engine_messages.hpp"
#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

using http_fields = boost::beast::http::fields;

/// Parts of a prompt beyond these are not told apart.
inline constexpr std::size_t max_shared_parts = 16;

/// What the header of a caller's request says, beside its method and target.
struct request_facts
{
    attempt_id attempt;
    /// How long the caller will wait from now on.
    std::optional<duration> time_limit;
    /// Empty when the request bears no key.
    std::string key;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t most_output_tokens = 0;
    /// The caller's estimate of its output.
    std::optional<std::uint32_t> expected_output_tokens;
    /// Hash of the part of the prompt that other prompts share; 0: none.
    std::uint64_t shared_prefix = 0;
    std::uint32_t shared_prefix_tokens = 0;
    /// The parts of the prompt that other prompts may share, in order; as many
    /// as max_shared_parts.
    std::vector<prompt_part> shared_parts;
    /// Last event that the caller has of a stream that broke.
    std::optional<std::uint64_t> last_event;
};

/// For the log: the parts in hexadecimal, separated by commas.
std::string name_of(std::span<const prompt_part> parts);

/// What is said to a backend server beside the caller's own request.
struct dispatch_facts
{
    duration time_left{};
    server_id server;
    workspace_id workspace;
    /// Stages of the pipeline, the addressed engine first; empty for a plain
    /// service.
    std::vector<stage_address> stages;
    /// The stream goes on after this event.
    std::optional<std::uint64_t> last_event;
    /// 0 goes first.
    std::optional<std::uint32_t> rank;
};

struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What the header of a backend server's answer says.
struct answer_facts
{
    attempt_id attempt;
    /// The server proves that it made the answer.
    bool stamped = false;
    /// The server states that the request did not run.
    bool not_run = false;
    /// Another server was reached than the one that was meant.
    bool other_server = false;
    /// The engine that a refusal blames.
    std::optional<endpoint> failed_server;
    std::optional<reported_load> load;
    /// Requests a second that the server takes from all instances together.
    std::optional<double> rate_limit;
    /// The server says that it leaves.
    bool leaving = false;
    /// A refusal names a time for which the server wants no request.
    std::optional<duration> backoff;
    /// A refusal names such a time in a way that cannot be used.
    bool has_bad_backoff = false;
    /// How long the server keeps the connection idle.
    std::optional<duration> keep_alive;
};

/// Translates the headers that callers, instances and backend servers
/// exchange. Decides nothing.
class message_codec
{
public:
    virtual ~message_codec() = default;

    virtual request_facts read_request(const http_fields& header) const = 0;

    /// Replaces whatever the caller set in the fields that are ours.
    virtual void
    write_dispatch(http_fields& header, const dispatch_facts& facts) const = 0;

    /// Sets for how long the caller will wait from now on.
    virtual void
    write_time_left(http_fields& header, duration time_left) const = 0;

    virtual answer_facts
    read_answer(unsigned status, const http_fields& header) const = 0;

    /// Header of an answer of our own to the attempt.
    virtual void write_own_answer(
        http_fields& header,
        const attempt_id& attempt,
        std::optional<duration> retry_after) const = 0;

    /// Path at which the balancer asks whether the instance is ready.
    virtual std::string_view readiness_path() const = 0;
};

} // namespace fireflysail
