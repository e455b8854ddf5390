#pragma once

#include "blackboard/blackboard.hpp"
#include "common/clock.hpp"
#include "control/engine_control.hpp"
#include "routing/engine_faults.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflysail
{

/// What instances tell one another of an engine.
enum class engine_observation
{
    /// An engine named it as the one that a request failed at.
    failed,
    /// An inquiry got no answer.
    unanswered,
    /// An inquiry got an answer again.
    answered,
};

/// Suspicions that the traffic thread and the duties share, and the inquiries
/// that settle them. Safe to use from several threads.
class engine_prober
{
public:
    engine_prober(
        blackboard& board, engine_control& engines, const clock& time);

    void report(const server_id& server, engine_fault fault);

    /// All stages of a pipeline stopped; the first is asked which one it was.
    void report_stalled_pipeline(const server_id& first_stage);

    using replies = std::vector<std::pair<server_id, engine_condition>>;

    /// Asks the engines under suspicion; what those tell that answer. Blocks
    /// for a bounded time each.
    replies probe_suspected(
        engine_faults::hearsay include = engine_faults::hearsay::left_out);

    /// Called on the thread that found something out.
    struct event_handlers
    {
        /// What other instances should know.
        std::function<void(const server_id&, engine_observation)>
            share_observation;
        /// An inquiry is due now.
        std::function<void()> request_probe;
    };

    /// Set once, before other threads use this.
    void set_handlers(event_handlers handlers);

    /// What another instance tells.
    void on_peer_observation(
        const instance_id& from,
        const server_id& server,
        engine_observation observation);

    /// Asks every engine what it holds, suspected or not.
    replies probe_all();

    std::vector<server_id> avoided() const;

    bool is_lost(const server_id& server) const;

    /// See engine_faults::is_gone().
    bool is_gone(const server_id& server) const;

    /// Engines whose loss is confirmed.
    std::vector<server_id> lost() const;

private:
    /// Asks one engine and judges it by its answer.
    void probe(const engine& server, replies& received);
    void
    apply_result(const engine& server, const result<engine_condition>& answer);
    engine_standing
    classify(const engine& server, const engine_condition& report);
    const engine*
    find_by_address(const fleet_snapshot& fleet, const endpoint& address) const;

    blackboard& board;
    engine_control& engines;
    const clock& time;
    event_handlers handlers;
    mutable absl::Mutex mutex;
    engine_faults faults ABSL_GUARDED_BY(mutex);
};

std::string_view name_of(engine_fault fault);
std::string_view name_of(engine_observation observation);

} // namespace fireflysail
