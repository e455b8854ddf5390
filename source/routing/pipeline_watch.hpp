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

/// Finds pipelines that stopped as a whole. A stage that dies or hangs holds
/// up every stream through it, while a slow stream leaves the others going:
/// silence of all of them together is certain long before the bound that a
/// single stream would need.
///
/// An instance with few streams on a pipeline cannot tell a lost stage from a
/// slow stream so soon; it can once others, or an engine, doubt a stage.
///
/// Answers the load pattern of a stage lost under many running streams, of
/// which each must go on within its gap objective.
class pipeline_watch
{
public:
    struct options
    {
        /// Silence of at least `crowd` streams that had been going, or this
        /// many times their usual gap if that is more: a slow engine makes
        /// every stream slow, and leaving it would only move the load.
        duration crowd_silence = std::chrono::milliseconds{100};
        double usual_gaps = 2.5;
        std::size_t crowd = 3;
        /// Silence of fewer streams.
        duration lone_silence = std::chrono::milliseconds{350};
        /// Silence before the first event of a run, while no other run on the
        /// pipeline goes on.
        duration first_event_silence = std::chrono::milliseconds{900};
        /// The same while a stage is doubted: first events take up to 120 ms
        /// on engines that are well.
        duration doubted_first_event_silence = std::chrono::milliseconds{250};
        /// A doubt counts for this long; an engine that stays away is doubted
        /// again.
        duration doubt = std::chrono::seconds{1};
    };

    explicit pipeline_watch(const options& chosen);

    /// `pipeline` is the key of the pipeline over `stages`.
    run_id begin(
        std::uint64_t pipeline,
        const std::vector<server_id>& stages,
        time_point now);

    /// The engine may have failed: silence of any pipeline through it needs no
    /// crowd.
    void doubt(const server_id& engine, time_point now);

    void on_event(run_id run, time_point now);
    void end(run_id run);

    /// Runs on pipelines that are silent now.
    std::vector<run_id> silent(time_point now) const;

    bool empty() const;

private:
    struct run
    {
        std::uint64_t pipeline = 0;
        std::vector<server_id> stages;
        time_point last_event;
        bool has_events = false;
    };

    duration bound_of(std::uint64_t pipeline, duration shortest) const;
    bool is_doubted(std::uint64_t pipeline, time_point now) const;

    options chosen;
    absl::flat_hash_map<run_id, run> runs;
    /// Smoothed gap between two events of a stream, by pipeline, in seconds.
    absl::flat_hash_map<std::uint64_t, double> usual_gap;
    absl::flat_hash_map<std::uint64_t, time_point> doubted_until;
    std::uint64_t last_id = 0;
};

} // namespace fireflysail
