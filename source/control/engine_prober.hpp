#pragma once

#include "blackboard/blackboard.hpp"
#include "common/clock.hpp"
#include "control/engine_control.hpp"
#include "routing/engine_faults.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflysail
{

/// Observation of an engine that instances share with one another.
enum class engine_observation
{
    /// Another engine reported it as the one at which a request failed.
    failed,
    /// A probe received no response.
    unanswered,
    /// A probe received a response after an earlier one had not.
    answered,
    /// Streams wait too long for their first event on the pipeline that begins
    /// with the engine. Says nothing about the engine itself.
    congested,
    /// The engine said in an answer that it leaves. A rumour for all that have
    /// not heard it themselves.
    leaving,
};

/// Holds the suspicions that the traffic thread and the duties share, and sends
/// the probes that confirm or clear them. Thread-safe.
class engine_prober
{
public:
    engine_prober(
        blackboard& board, engine_control& engines, const clock& time);

    void report(const server_id& server, engine_fault fault);

    /// Reports that all stages of a pipeline stopped; the first stage is probed
    /// to find the failed one.
    void report_stalled_pipeline(const server_id& first_stage);

    using replies = std::vector<std::pair<server_id, engine_condition>>;

    /// Probes suspected engines that are due and returns the statuses of those
    /// that responded. Blocks for a bounded time per engine.
    replies probe_suspected(
        engine_faults::remote_reports include =
            engine_faults::remote_reports::excluded);

    /// Callbacks, invoked on the thread that made the observation.
    struct event_handlers
    {
        /// Sends an observation to the other instances.
        std::function<void(const server_id&, engine_observation)>
            share_observation;
        /// A probe by this instance got no response.
        std::function<void(const server_id&)> on_unanswered =
            [](const server_id&) {};
        /// Schedules `probe_suspected`, because a probe is due now.
        std::function<void()> request_probe;
        /// The engine says that this boot of it leaves.
        std::function<void(const server_id&, std::uint64_t boot)> on_leaving =
            [](const server_id&, std::uint64_t) {};
        /// Whether the engine wants no request, probes included.
        std::function<bool(const server_id&)> is_backing_off =
            [](const server_id&)
        {
            return false;
        };
    };

    /// Must be called once, before other threads use this object.
    void set_handlers(event_handlers handlers);

    /// Applies an observation received from another instance.
    void on_peer_observation(
        const instance_id& from,
        const server_id& server,
        engine_observation observation,
        engine_faults::reporter reporter);

    /// See engine_faults::require().
    void require(engine_faults::loss_evidence evidence);

    /// Drops the failed probes that an instance reported: it is cut off from
    /// the engines. Returns true if engines are no longer lost because of that.
    bool forget_reports(const instance_id& from);

    /// This instance reaches engines again after it was cut off from all.
    void forget_own_failures();

    /// Probes every engine that is not lost, whether suspected or not.
    replies probe_all();

    std::vector<server_id> avoided() const;

    bool is_lost(const server_id& server) const;

    /// See engine_faults::is_gone().
    bool is_gone(const server_id& server) const;

    /// Whether the engine wants no request now, probes and orders included.
    bool is_backing_off(const server_id& server) const;

    /// Engines confirmed as lost; see engine_faults::is_lost().
    std::vector<server_id> lost() const;

private:
    std::vector<server_id> lost_at(time_point now) const
        ABSL_SHARED_LOCKS_REQUIRED(mutex);
    /// Probes one engine and updates its suspicion from the result.
    void probe(const engine& server, replies& received);
    void
    apply_result(const engine& server, const result<engine_condition>& answer);
    probed_state classify(const engine& server, const engine_condition& report);
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
