#pragma once

#include "relay/exchange.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace fireflysail
{

/// How one run of a stream on a pipeline ended.
enum class stream_end
{
    whole,
    /// The engine answered with another status than success; passed on.
    passed_on,
    /// An engine states that nothing ran.
    refused,
    /// No connection; nothing was sent.
    unsent,
    /// Broke off or fell silent.
    broken,
    /// The caller left or could not be written to.
    caller_lost,
};

/// One stream over all its runs.
struct stream_state
{
    explicit stream_state(exchange& served)
        : served{served}
        , last_event{served.facts.last_event}
    {
    }

    exchange& served;
    /// Header of the first engine that answered, kept for the whole answer.
    std::optional<http_response> header;
    bool header_sent = false;
    std::optional<std::uint64_t> last_event;
    int fruitless = 0;
    std::vector<server_id> excluded;
    /// First engines of the pipelines on which it ran.
    std::vector<server_id> ran_at;
    bool refused = false;
    /// Its content was found to crash engines before it ran.
    bool quarantined = false;
    /// The instance stops, and it has not run yet.
    bool stopping = false;
    /// The current run was ended because its pipeline fell silent.
    bool silenced = false;
    /// The current run was ended because its first event was late.
    bool is_moved = false;
    bool is_budget_logged = false;
    /// The budget was charged for the next attempt already.
    bool repeat_is_paid = false;
    stall_monitor::run* run = nullptr;
    /// Ends when the current run has had its first event.
    io_deadline* first_event = nullptr;
    /// The header of the current run's answer arrived.
    bool answered = false;
    /// The current run brought an event.
    bool has_begun = false;
    /// Time waited for servers with a limit.
    duration limit_waited{};
    /// Runs that ended with the crash of their engine before any event.
    int crashes = 0;
    /// The first engine of the current run.
    contacted_server contacted;
};

/// The operators bound the engines that one attempt of a caller runs on; those
/// that are gone do not count.
bool may_use_another_engine(const stream_state& state);

/// A pipeline for the next run of the stream. Congested ones are used only if
/// there is no other.
route_outcome
choose_pipeline(const stream_state& state, held_back left_out = held_back::all);

/// Runs the stream on the pipeline and forwards its events.
asio::awaitable<stream_end>
run_stream(stream_state& state, const routed_pipeline& routed);

} // namespace fireflysail
