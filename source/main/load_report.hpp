#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fireflysail
{

/// Demand of the whole fleet on one service and rank, or of one workspace.
struct load_row
{
    double in_flight = 0;
    double arrivals_per_second = 0;
    double refused_per_second = 0;

    bool operator==(const load_row&) const = default;
};

/// What the metrics of an instance say about the demand of its fleet.
struct load_report
{
    /// True if there is any metric of demand.
    bool is_enabled = false;
    /// Nothing if the instance has no view.
    std::optional<double> view_age_seconds;
    std::optional<double> covered_share;
    /// By service and rank.
    std::map<std::pair<std::string, int>, load_row> services;
    std::map<std::string, load_row> workspaces;
};

/// Reads metrics in Prometheus' text format. Lines that cannot be read, and all
/// other metrics, are passed over.
load_report parse_load_report(std::string_view metrics);

/// Tables for a terminal.
std::string format_load_report(const load_report& report);

/// Why there is nothing to show; nothing if there is.
std::optional<std::string> find_missing_load(const load_report& report);

} // namespace fireflysail
