#pragma once

#include "demand_fleet.hpp"

#include <algorithm>

namespace fireflysail
{

/// What the views of a fleet say about one key.
struct views_of
{
    views_of(const demand_fleet& fleet, const demand_key& key)
    {
        for (const auto& node : fleet.nodes)
        {
            const auto found = node.rows.find(key);
            if (node.is_up && found != node.rows.end())
            {
                this->total += found->second.in_flight;
            }
        }
        for (const auto& node : fleet.nodes)
        {
            if (!node.is_up)
            {
                continue;
            }
            const auto view = node.demand->view(fleet.now);
            ++(view ? this->present : this->absent);
            if (view)
            {
                const double seen = view->of(key).in_flight;
                this->lowest = std::min(this->lowest, seen / this->total);
                this->highest = std::max(this->highest, seen / this->total);
                this->covered = std::min(this->covered, view->covered_share);
            }
        }
    }

    /// Requests in flight at all instances that are up.
    double total = 0;
    std::size_t present = 0;
    std::size_t absent = 0;
    /// Requests in flight of the views, as shares of `total`.
    double lowest = 1;
    double highest = 1;
    double covered = 1;
};

} // namespace fireflysail
