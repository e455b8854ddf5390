#pragma once

#include "common/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace fireflysail
{

/// Counts of one server over all instances.
struct fleet_server_counts
{
    /// Requests that were sent and have not ended.
    double in_flight = 0;
    /// Rates over the time since the counts before these.
    double answered_per_second = 0;
    /// Refused attempts are not failures.
    double failed_per_second = 0;
    /// Of the requests answered; ignored where there were none.
    duration mean_response_time{};
};

/// Answers of a server, of which older ones count less.
struct answer_sum
{
    double count = 0;
    /// Sum of the response times.
    double seconds = 0;
};

/// Load and health of one server as seen by all instances: the last counts,
/// which arrive late, corrected by the requests of this instance since then.
///
/// Handles servers that an instance asks too rarely to judge by itself.
class fleet_server_load
{
public:
    /// Counts that are older than the last ones, or no finite amounts, are
    /// dropped.
    void set(const fleet_server_counts& counts, time_point measured_at);

    /// Counts a change in the requests of this instance in flight.
    void on_own_change(std::int32_t change, time_point now);

    /// Sets when the server started, as listed. Counts of an earlier life are
    /// forgotten.
    void set_start(std::uint64_t started_at_ms, time_point now);

    /// Whether there are counts recent enough to decide by.
    bool is_fresh(time_point now) const;

    duration age(time_point now) const;

    /// Requests of all instances now in flight; not negative.
    double in_flight() const;

    /// Requests that ended per second.
    double ended_per_second() const;

    const answer_sum& recent_answers() const;

    /// Response time relative to `expected` in seconds; one where the
    /// difference may be chance.
    double slowdown(double expected) const;

    /// Probability that the server fails a large share of its requests.
    double failing_probability() const;

private:
    static constexpr std::size_t buckets = 64;

    struct net_change
    {
        std::int64_t bucket = 0;
        std::int32_t net = 0;
    };

    fleet_server_counts last;
    time_point measured_at{};
    bool is_known = false;
    /// Logarithm of the odds that the server fails, relative to a server of
    /// which nothing is known.
    double failure_evidence = 0;
    answer_sum answers;
    std::uint64_t started_at_ms = 0;
    /// Counts measured before this contain an earlier life of the server.
    time_point accepted_from{};
    std::array<net_change, buckets> changes{};
};

} // namespace fireflysail
