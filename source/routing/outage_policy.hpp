#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <random>

namespace fireflysail
{

/// Whether a request waits while no pipeline is there, and when it is worth
/// coming back. Lost layers are loaded elsewhere within the usual time of a
/// repair; once that has passed, something holds the repair up, and a request
/// that waits here only comes too late and meets the others in a crowd when
/// the pipeline is back. Such a request is refused at once and told to come
/// back later, each at a moment of its own. Callers come back once or twice
/// only, so that advice which is too short spends their last attempt.
///
/// Answers the load pattern of a fleet without a whole pipeline for seconds,
/// as when engines leave while the store is down.
class outage_policy
{
public:
    struct options
    {
        /// A repair is expected within this time after the loss.
        duration usual_repair = std::chrono::milliseconds{2500};
        /// Longest wait of one request.
        duration longest_wait = std::chrono::milliseconds{1500};
        /// Advice while a repair is under way.
        duration soon = std::chrono::milliseconds{1500};
        /// Advice while the store is lost: its outages last for seconds, and
        /// what was lost in them is found late.
        duration later = std::chrono::seconds{4};
        /// The advice is drawn from itself up to this many times itself.
        double spread = 1.5;
        /// Callers follow advice up to this part of the time they have left.
        double most_of_time_left = 1.0 / 3;
    };

    explicit outage_policy(const options& chosen);

    /// A request found no pipeline of the model, or found one.
    void on_missing(const model_id& model, time_point now);
    void on_found(const model_id& model);

    /// Whether a request that has waited for `waited` waits on.
    bool is_worth_waiting(
        const model_id& model, duration waited, time_point now) const;

    /// When a refused request should come back.
    duration come_back_after(
        bool store_is_lost, duration time_left, std::mt19937_64& random) const;

private:
    options chosen;
    absl::flat_hash_map<model_id, time_point> missing_since;
};

} // namespace fireflysail
