#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace fireflysail
{

/// Tracks pipelines, by their first stage, that let streams wait too long for
/// their first event. An engine reports its load with the first event, so an
/// overloaded pipeline, whose callers leave before that, looks idle to the
/// instances. New streams avoid a congested pipeline for a while, which grows
/// each time that it is found congested again soon after.
///
/// Handles a slow engine, and a pipeline that kept the load of a lost one,
/// while other pipelines have room.
class congestion_tracker
{
public:
    struct options
    {
        duration initial_pause = std::chrono::milliseconds{500};
        duration max_pause = std::chrono::seconds{4};
        /// Congestion this long after the last pause starts over with
        /// `initial_pause`.
        duration reset_after = std::chrono::seconds{2};
    };

    explicit congestion_tracker(const options& limits);

    /// A stream waits too long for its first event, here or at another
    /// instance. Returns true if this starts a pause.
    bool report(const server_id& first_stage, time_point now);

    bool is_congested(const server_id& first_stage, time_point now) const;

    /// First stages of all congested pipelines.
    std::vector<server_id> congested(time_point now) const;

private:
    struct record
    {
        time_point until;
        duration pause{};
    };

    options limits;
    absl::flat_hash_map<server_id, record> records;
};

} // namespace fireflysail
