#pragma once

#include "admission/admission_shares.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace fireflysail
{

/// What the whole fleet has in flight and room for, of one service.
struct service_load
{
    /// When the counts were taken, on the mean.
    time_point measured_at;
    /// Streams.
    double in_flight = 0;
    /// Streams that run without delay.
    double capacity = 0;
    /// Requests per second, those that came back after a refusal included.
    by_rank arrivals{};
    /// Requests refused per second; they are part of the arrivals.
    by_rank refused{};
    /// Mean duration of a stream; zero if none has ended lately.
    duration mean_duration{};
};

struct admission_request
{
    /// That of the workspace if it has one, else that of the route.
    std::uint32_t rank = 0;
    workspace_id workspace;
    /// Until the caller's timeout.
    duration time_left{};
    /// Continues a stream that was admitted before.
    bool resumes = false;
};

struct admitted
{
};

struct refused
{
    /// Time after which the caller should come back.
    duration retry_after{};
};

using admission_decision = std::variant<admitted, refused>;

/// For metrics and logs.
struct admission_state
{
    /// Predicted streams in flight, divided by the capacity.
    double occupancy = 0;
    /// Share of each rank's requests that is admitted.
    by_rank admitted_share{};
    /// Most urgent rank of which requests are refused.
    std::optional<std::uint32_t> cutoff;
};

/// Decides for each new stream whether it is admitted or refused. Every
/// instance decides by itself; since all of them use the same counts, all
/// refuse the same share of each rank and workspace. Not thread-safe.
///
/// Handles load above the capacity, bursts of one rank, and a workspace that
/// sends many times its usual load.
class admission_control
{
public:
    struct options
    {
        /// Occupancy that is kept up under overload.
        double target_occupancy = 0.98;
        /// Nothing is refused below this occupancy.
        double min_occupancy = 0.5;
        /// Share of the service of all that each rank and workspace gets.
        double min_share = 0.3;
        /// Time in which the occupancy is brought to its target.
        duration correction_time = std::chrono::milliseconds{700};
        /// Admissions are never cut below this share of the completions.
        double min_admission = 0.4;
        /// Views older than this are not used.
        duration max_view_age = std::chrono::seconds{2};
        duration min_retry_after = std::chrono::milliseconds{500};
        /// Upper bound of `retry_after` as a share of the time left.
        double max_retry_share = 1.0 / 3;
        /// Time constant of the mean of the arrivals, which predicts the load
        /// after a burst.
        duration usual_arrivals_time = std::chrono::seconds{30};
        /// Time constant of the mean of the arrivals of a workspace; what it
        /// sends above the mean is refused first.
        duration usual_workspace_time = std::chrono::minutes{5};
    };

    admission_control() = default;
    explicit admission_control(const options& chosen);

    /// Decides on a request. `load` is null if there is no view of the fleet;
    /// then the request is admitted.
    admission_decision decide(
        const service_id& service,
        const admission_request& request,
        const service_load* load,
        time_point now,
        std::mt19937_64& random);

    /// Takes a new view in. `decide` does so too; called on each new view, it
    /// keeps the prediction current at an instance with few requests.
    void
    update(const service_id& service, const service_load& load, time_point now);

    /// Sets the arrivals of the largest workspaces at a service; called before
    /// `update` with each new view.
    void set_workspace_demand(
        const service_id& service, std::vector<workspace_arrivals> largest);

    /// Nothing if there is no recent view.
    std::optional<admission_state>
    state(const service_id& service, time_point now) const;

private:
    /// What was admitted from a moment on.
    struct past_shares
    {
        time_point from;
        by_rank admitted_share{};
    };

    struct usual_rate
    {
        double per_second = 0;
        /// Time that the mean is over, up to its time constant.
        double seconds = 0;
    };

    struct service_state
    {
        std::optional<service_load> load;
        time_point planned_at;
        /// Predicted.
        double in_flight = 0;
        /// Completions measured, relative to those by the mean duration.
        double completion_factor = 1;
        by_rank usual_arrivals{};
        /// Callers that were refused and have not come back yet.
        by_rank awaited{};
        /// Mean of the waits named, in seconds.
        double mean_wait = 1;
        /// Since when requests are refused.
        std::optional<time_point> refusing_since;
        /// Shares admitted, the oldest first.
        std::deque<past_shares> history;
        std::vector<workspace_arrivals> largest;
        absl::btree_map<demand_key, usual_rate> usual_workspaces;
        /// Share of all arrivals below which no rank and no workspace falls.
        double floor = 0;
        workspace_shares workspaces;
        by_rank admitted_share{};
    };

    void take_load(service_state& state, const service_load& load) const;
    void take_workspaces(service_state& state, double elapsed) const;
    void correct_completions(
        service_state& state, const service_load& load, double elapsed) const;
    double completions(
        const service_state& state,
        const service_load& load,
        double in_flight) const;
    void make_plan(service_state& state, time_point now) const;
    double predict_in_flight(const service_state& state, time_point now) const;
    double share_of(
        const service_state& state, const admission_request& request) const;
    std::optional<double> predict_wait(
        const service_state& state, std::size_t rank, time_point now) const;
    duration retry_after(
        std::optional<double> wait,
        duration time_left,
        std::mt19937_64& random) const;

    options chosen;
    absl::flat_hash_map<service_id, service_state> services;
};

} // namespace fireflysail
