#pragma once

#include "demand/demand_counts.hpp"

#include <absl/container/btree_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace fireflysail
{

inline constexpr std::size_t admission_rank_count = max_demand_rank + 1;

/// One number for each rank; 0 is the most urgent.
using by_rank = std::array<double, admission_rank_count>;

/// Arrivals of one of the largest workspaces at one service.
struct workspace_arrivals
{
    /// As made by `workspace_key`.
    demand_key workspace{};
    double per_second = 0;
    /// Set if the workspace has a rank of its own.
    std::optional<std::uint32_t> rank{};
    /// Mean over some minutes; `admission_control` sets it.
    double usual_per_second = std::numeric_limits<double>::infinity();
};

/// Divides `served`, a share of all arrivals, among the ranks: `floor` of each
/// rank's arrivals is served, the remainder goes to the most urgent first.
/// Returns the share of each rank's arrivals that is served.
by_rank share_by_rank(const by_rank& arrivals, double served, double floor);

/// Shares of the arrivals of each workspace that are served.
struct workspace_shares
{
    absl::btree_map<demand_key, double> listed;
    /// Of a workspace that is not listed.
    double others = 1;
};

/// Divides `served`, a share of all arrivals, among the workspaces: `floor` of
/// each one's arrivals is served; then the usual arrivals, those of urgent
/// workspaces first; then what exceeds the usual, max-min fair and weighted by
/// rank. The arrivals that no listed workspace accounts for are usual ones of
/// workspaces at most as large as the smallest listed.
workspace_shares share_by_workspace(
    const std::vector<workspace_arrivals>& largest,
    const by_rank& arrivals,
    double served,
    double floor);

} // namespace fireflysail
