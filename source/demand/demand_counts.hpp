#pragma once

#include "common/clock.hpp"

#include <absl/container/btree_map.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace fireflysail
{

/// What a row of counts is about.
enum class demand_subject : std::uint8_t
{
    /// Requests to one service of one rank.
    service_rank,
    /// Requests of one workspace to one service.
    workspace,
    /// Streams on the pipelines that begin at one engine.
    pipeline,
    /// Requests to one server of a plain service.
    plain_server,
};

/// Identifies a row in messages between instances. `id` is a hash short enough
/// for small datagrams; two subjects may have the same one.
struct demand_key
{
    demand_subject subject = demand_subject::service_rank;
    std::uint16_t id = 0;
    std::uint8_t rank = 0;

    auto operator<=>(const demand_key&) const = default;

    template <class H>
    friend H AbslHashValue(H state, const demand_key& key)
    {
        return H::combine(std::move(state), key.subject, key.id, key.rank);
    }
};

demand_key service_rank_key(std::string_view service, std::uint32_t rank);
demand_key workspace_key(std::string_view workspace);
/// The sum over workspaces that have no row of their own.
demand_key other_workspaces_key();
demand_key pipeline_key(std::string_view first_stage);
demand_key plain_server_key(std::string_view server);

/// Least urgent rank that is counted by itself; those behind it are added to
/// it.
inline constexpr std::uint32_t max_demand_rank = 9;

/// Counts of one instance, or sums over several.
struct demand_counts
{
    /// Requests that were sent and have not ended.
    double in_flight = 0;
    /// Requests received per second.
    double arrivals = 0;
    /// Requests refused per second.
    double refused = 0;
    /// Answers received per second.
    double answered = 0;
    /// Attempts that failed, per second.
    double failed = 0;
    /// Response times of the answers, in seconds per second.
    double response_time = 0;

    bool operator==(const demand_counts&) const = default;
};

demand_counts& operator+=(demand_counts& sum, const demand_counts& more);
demand_counts operator*(const demand_counts& counts, double factor);

using demand_rows = absl::btree_map<demand_key, demand_counts>;

/// Sum over some instances.
struct demand_sum
{
    demand_rows rows;
    /// Instances in the sum.
    std::uint32_t covered = 0;
    /// Mean age of their counts.
    duration age{};

    bool operator==(const demand_sum&) const = default;
};

/// Adds `more`; the age is weighted by the instances covered.
void add(demand_sum& sum, const demand_sum& more);

/// Adds the workspaces with the fewest arrivals to the row of the others, until
/// `most` are left beside it.
void merge_small_workspaces(demand_rows& rows, std::size_t most);

} // namespace fireflysail
