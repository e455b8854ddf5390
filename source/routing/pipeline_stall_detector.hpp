#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/strong_types.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace fireflysail
{

/// One run of a stream on a pipeline.
using run_id = strong_number<struct run_id_tag>;

/// Detects pipelines that stopped as a whole. A stage that dies or hangs blocks
/// every stream through it, while a single slow stream does not affect the
/// others. Silence of all streams is therefore conclusive long before the
/// timeout that a single stream would need.
///
/// An instance with few streams on a pipeline cannot distinguish a lost stage
/// from a slow stream as early. It uses the short timeout only after other
/// instances or an engine have reported a stage as possibly failed.
///
/// Handles the loss of a stage with many running streams, each of which must
/// resume within the objective for the gap between its tokens.
class pipeline_stall_detector
{
public:
    struct options
    {
        /// Timeout for pipelines with at least `many_streams` streams that had
        /// events, or `gap_factor` times their mean gap if that is longer: a
        /// slow engine slows down every stream, and leaving it would only move
        /// the load.
        duration many_streams_timeout = std::chrono::milliseconds{100};
        double gap_factor = 2.5;
        std::size_t many_streams = 3;
        /// Timeout for pipelines with fewer streams that had events.
        duration few_streams_timeout = std::chrono::milliseconds{350};
        /// Timeout for the first event while no run on the pipeline has had
        /// one.
        duration first_event_timeout = std::chrono::milliseconds{900};
        /// Timeout for the first event while no run on the pipeline has had one
        /// and a stage is suspected: on healthy engines the first event takes
        /// up to 120 ms.
        duration suspected_first_event_timeout = std::chrono::milliseconds{250};
        /// Duration of a suspicion. It is renewed for an engine that stays
        /// unavailable.
        duration suspicion_duration = std::chrono::seconds{1};
    };

    explicit pipeline_stall_detector(const options& chosen);

    /// Starts a run. `pipeline` is the key of the pipeline through `stages`.
    run_id begin(
        std::uint64_t pipeline,
        const std::vector<server_id>& stages,
        time_point now);

    /// The engine may have failed: applies the short timeout to all pipelines
    /// through it, regardless of the number of streams.
    void suspect(const server_id& engine, time_point now);

    void on_event(run_id run, time_point now);
    void end(run_id run);

    /// Runs on pipelines whose timeout has expired.
    std::vector<run_id> stalled_runs(time_point now) const;

    bool empty() const;

private:
    struct run
    {
        std::uint64_t pipeline = 0;
        std::vector<server_id> stages;
        time_point last_event;
        bool has_events = false;
    };

    duration timeout_of(std::uint64_t pipeline, duration shortest) const;
    bool is_suspected(std::uint64_t pipeline, time_point now) const;

    options chosen;
    absl::flat_hash_map<run_id, run> runs;
    /// Smoothed gap between two events of a stream, by pipeline, in seconds.
    absl::flat_hash_map<std::uint64_t, double> mean_gap;
    absl::flat_hash_map<std::uint64_t, time_point> suspected_until;
    std::uint64_t last_id = 0;
};

} // namespace fireflysail
