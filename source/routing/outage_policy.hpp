#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <random>

namespace fireflysail
{

/// Decides whether a request waits while no pipeline is available, and after
/// which delay a refused request should be retried. Lost layers are usually
/// reloaded on other engines within `expected_repair_time`. After that the
/// repair is delayed, and requests that kept waiting would miss their deadlines
/// and be sent all at once when the pipeline is back. They are therefore
/// refused at once with a retry delay that has random jitter. Callers retry
/// only once or twice, so a delay that is too short wastes their last attempt.
///
/// Handles a fleet without a complete pipeline for several seconds, for example
/// when engines leave while the store is unavailable.
class outage_policy
{
public:
    struct options
    {
        /// Expected time from the loss of a pipeline to its repair.
        duration expected_repair_time = std::chrono::milliseconds{2500};
        /// Maximum wait of one request.
        duration max_wait = std::chrono::milliseconds{1500};
        /// Retry delay while a repair is in progress.
        duration delay_during_repair = std::chrono::milliseconds{1500};
        /// Retry delay while the store is unavailable: its outages last for
        /// seconds, and engines lost meanwhile are detected late.
        duration delay_without_store = std::chrono::seconds{4};
        /// The retry delay is multiplied by a random factor between 1 and this.
        double max_jitter_factor = 1.5;
        /// Limits the retry delay to this fraction of the caller's remaining
        /// time. Callers do not wait for longer ones.
        double max_fraction_of_time_left = 1.0 / 3;
    };

    explicit outage_policy(const options& chosen);

    /// Called when a request found no pipeline of the model, or found one.
    void on_pipeline_missing(const model_id& model, time_point now);
    void on_pipeline_found(const model_id& model);

    /// Whether a request that has waited for `waited` should wait longer.
    bool
    should_wait(const model_id& model, duration waited, time_point now) const;

    /// Delay after which a refused request should be retried.
    duration retry_delay(
        bool store_is_lost, duration time_left, std::mt19937_64& random) const;

private:
    options chosen;
    absl::flat_hash_map<model_id, time_point> missing_since;
};

} // namespace fireflysail
