#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace fireflysail
{

/// Why an engine is suspected to have failed.
enum class engine_fault
{
    /// Another engine reported that a request failed at the engine.
    named_by_peer,
    /// The engine refused a connection, or closed one without a response.
    unreachable,
    /// All streams through a pipeline that contains the engine stopped
    /// together.
    in_silent_pipeline,
};

/// State of an engine that responded to a probe.
enum class probed_state
{
    ready,
    /// The engine refuses requests temporarily, because its memory is full or
    /// an order is in progress.
    busy,
    /// The engine reports that it accepts no more requests.
    leaving,
};

/// Tracks engines that requests should avoid before the store reports them as
/// failed. The store entry of a dead engine lives on for several heartbeats,
/// and until then every request sent through the engine would time out. A
/// suspicion expires unless it is renewed or a probe confirms it; each renewal
/// doubles its duration.
///
/// Handles engines that crash, hang or leave unannounced under full load.
class engine_faults
{
public:
    enum class remote_reports
    {
        excluded,
        included,
    };

    struct options
    {
        duration initial_suspicion = std::chrono::milliseconds{400};
        duration max_suspicion = std::chrono::seconds{3};
        /// A fault reported this long after the last suspicion expired starts
        /// over with `initial_suspicion`.
        duration reset_after = std::chrono::seconds{5};
        /// Failed probes that confirm the loss of an engine.
        int probes_to_confirm = 2;
        /// Interval between two probes of one engine.
        duration probe_interval = std::chrono::milliseconds{300};
        /// Consecutive refusals, each in a separate suspicion, that confirm
        /// that an engine with free capacity no longer accepts requests.
        int refusals_to_confirm = 3;
        /// An engine that only refused requests is tried again this long after
        /// its last suspicion expired.
        duration refusal_pause = std::chrono::seconds{3};
        /// Instances whose probes must fail to confirm a loss together.
        std::size_t instances_to_confirm = 2;
        /// Reports of failed probes by other instances are valid for this long:
        /// about two probes of an instance that waits for responses.
        duration remote_report_validity = std::chrono::seconds{2};
    };

    explicit engine_faults(const options& chosen);

    /// What confirms the loss of an engine.
    enum class loss_evidence
    {
        /// Failed probes of two instances, be they others or not.
        any_instances,
        /// The same, and a probe of this instance failed. For an instance whose
        /// orders follow from the loss: the others may be cut off together.
        own_probe,
    };

    void require(loss_evidence evidence);

    void report(const server_id& server, engine_fault fault, time_point now);

    /// The engine responded to a probe and holds the expected layers. Ends a
    /// suspicion that was based on silence. One that was based on a report by a
    /// peer or on a failed connection expires by itself, as a draining engine
    /// responds to probes too. An engine that refused requests and reports that
    /// it is leaving counts as lost at once; each sign alone may be wrong.
    void probe_succeeded(
        const server_id& server, probed_state state, time_point now);

    /// Another instance learned from an engine that this one failed. Requests
    /// avoid it for the time of a first suspicion; the other instance probes
    /// it.
    void remote_fault(const server_id& server, time_point now);

    /// Whether an instance that reports a failed probe can tell that from being
    /// cut off itself.
    enum class reporter
    {
        reaches_others,
        /// Its program does not check that.
        unchecked,
    };

    /// A probe by another instance failed. Two instances with failed probes,
    /// including this one, confirm the loss for a while; a single instance may
    /// itself be disconnected. So may all unchecked ones: they count only
    /// beside this one, which then probes the engine.
    void remote_probe_failed(
        const server_id& server,
        const instance_id& from,
        time_point now,
        reporter kind = reporter::reaches_others);

    /// A probe by another instance succeeded after it had failed before.
    void remote_probe_succeeded(const server_id& server, time_point now);

    /// Removes the reports of an instance that is itself disconnected from the
    /// engines.
    void forget_reports(const instance_id& from);

    /// Removes what this instance found by itself: it was disconnected from all
    /// engines, so that its failed requests and probes say nothing of them.
    void forget_own_failures(time_point now);

    /// Whether the last probe failed.
    bool last_probe_failed(const server_id& server) const;

    /// Whether it refused requests recently, so that a probe should check
    /// whether it accepts any.
    bool refuses(const server_id& server, time_point now) const;

    /// A probe failed: the engine is avoided for `max_suspicion`, and for
    /// good once `probes_to_confirm` probes failed, until a probe succeeds.
    void probe_failed(const server_id& server, time_point now);

    bool is_avoided(const server_id& server, time_point now) const;

    /// All engines that requests should avoid.
    std::vector<server_id> avoided(time_point now) const;

    /// Returns the engines that are due for a probe and schedules their next
    /// one. Engines that are suspected only because of reports by other
    /// instances are left out by default, else every instance would probe each
    /// lost engine; but not if these reports need a probe of this instance.
    std::vector<server_id> take_due_probes(
        time_point now, remote_reports include = remote_reports::excluded);

    /// Whether its layers count as lost: enough probes failed, or it refuses
    /// requests despite free capacity.
    bool is_lost(const server_id& server, time_point now) const;

    /// Whether enough probes of this instance failed to assume that the
    /// requests that ran on it have ended. An engine that only refuses requests
    /// may still be running those that it accepted before.
    bool is_gone(const server_id& server) const;

    /// Incremented with each change of the avoided or lost engines.
    std::uint64_t version() const;

    /// Removes engines that are no longer in the fleet.
    template <class IsKnown>
    void keep_only(IsKnown&& is_known)
    {
        absl::erase_if(
            this->records,
            [&is_known](const auto& item)
            {
                return !is_known(item.first);
            });
    }

private:
    struct failed_report
    {
        instance_id from;
        reporter kind = reporter::reaches_others;
    };

    struct record
    {
        engine_fault fault = engine_fault::unreachable;
        time_point until;
        duration length{};
        int failed_probes = 0;
        int refusals = 0;
        /// Whether a probe after the first refusal found free capacity.
        bool has_capacity = false;
        time_point next_probe;
        /// Known from other instances only: no request or probe of this
        /// instance met the fault.
        bool is_remote_only = false;
        /// Other instances whose probes failed, and the time of the last such
        /// report.
        std::vector<failed_report> reports;
        time_point last_remote_report;
    };

    record& remote_record(const server_id& server, time_point now);
    /// Whether enough instances report its loss, unchecked ones among them.
    bool is_reported_lost(const record& known, time_point now) const;
    bool is_confirmed_remotely(const record& known, time_point now) const;

    bool is_avoided(const record& known, time_point now) const;
    bool is_gone(const record& known) const;
    bool is_lost(const record& known, time_point now) const;

    options chosen;
    loss_evidence required = loss_evidence::any_instances;
    absl::flat_hash_map<server_id, record> records;
    std::uint64_t changes = 0;
};

} // namespace fireflysail
