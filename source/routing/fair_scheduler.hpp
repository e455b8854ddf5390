#pragma once

#include "common/invariant.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>
#include <utility>

namespace fireflysail
{

/// Start-time fair queueing: divides service among the flows that have work
/// waiting, in proportion to their weights. An idle flow accumulates no credit,
/// and its debt expires once the other flows have received as much service.
/// O(log n).
template <class Key>
class fair_scheduler
{
public:
    /// Marks `key` as having work waiting.
    void activate(const Key& key, double weight)
    {
        flow& found = this->flows[key];
        found.weight = std::max(weight, smallest_weight);
        if (!found.active)
        {
            found.active = true;
            found.tag = std::max(found.tag, this->virtual_time);
            this->order.emplace(found.tag, key);
            this->total_weight += found.weight;
            found.counted_weight = found.weight;
        }
    }

    /// Marks `key` as having no work waiting.
    void deactivate(const Key& key)
    {
        const auto found = this->flows.find(key);
        if (found == this->flows.end() || !found->second.active)
        {
            return;
        }
        this->order.erase({found->second.tag, key});
        this->total_weight -= found->second.counted_weight;
        found->second.active = false;
        if (this->order.empty())
        {
            this->total_weight = 0;
            this->virtual_time = this->latest_tag;
        }
        this->drop_idle_flows();
    }

    /// The active flow that is furthest behind its share.
    std::optional<Key> next() const
    {
        if (this->order.empty())
        {
            return std::nullopt;
        }
        return this->order.begin()->second;
    }

    /// Charges `cost` for service that starts now to `key`, which must be
    /// active.
    void charge(const Key& key, double cost)
    {
        const auto found = this->flows.find(key);
        ensure(
            found != this->flows.end() && found->second.active,
            "only an active flow can be charged");
        this->virtual_time = std::max(this->virtual_time, found->second.tag);
        this->advance_tag(found->first, found->second, cost);
    }

    /// Adjusts an earlier charge by `cost`, which may be negative, once the
    /// actual cost is known. The flow need not be active.
    void correct(const Key& key, double cost)
    {
        const auto found = this->flows.find(key);
        if (found != this->flows.end())
        {
            this->advance_tag(found->first, found->second, cost);
        }
    }

    /// Share of the service that `key` gets while the set of active flows does
    /// not change. `key` is counted with `weight` whether or not it is active.
    double share_of(const Key& key, double weight) const
    {
        const double own = std::max(weight, smallest_weight);
        const auto found = this->flows.find(key);
        const bool counted = found != this->flows.end() && found->second.active;
        const double others =
            counted ? this->total_weight - found->second.counted_weight
                    : this->total_weight;
        return own / (own + std::max(others, 0.0));
    }

    /// Number of flows in the table, active or not.
    std::size_t size() const
    {
        return this->flows.size();
    }

private:
    struct flow
    {
        double weight = 1;
        double counted_weight = 1;
        double tag = 0;
        bool active = false;
    };

    static constexpr double smallest_weight = 1e-6;
    static constexpr std::size_t min_sweep_size = 1024;

    void advance_tag(const Key& key, flow& target, double cost)
    {
        const double tag =
            std::max(this->virtual_time, target.tag + cost / target.weight);
        if (target.active)
        {
            this->order.erase({target.tag, key});
            this->order.emplace(tag, key);
        }
        target.tag = tag;
        this->latest_tag = std::max(this->latest_tag, tag);
    }

    /// Drops idle flows whose tag is in the past; they would start from the
    /// virtual time anyway. The sweep runs only after the table has doubled in
    /// size, so its amortised cost is O(1).
    void drop_idle_flows()
    {
        if (this->flows.size() < this->next_sweep_size)
        {
            return;
        }
        absl::erase_if(
            this->flows,
            [this](const auto& entry)
            {
                return !entry.second.active &&
                       entry.second.tag <= this->virtual_time;
            });
        this->next_sweep_size =
            std::max(min_sweep_size, 2 * this->flows.size());
    }

    absl::flat_hash_map<Key, flow> flows;
    std::set<std::pair<double, Key>> order;
    double virtual_time = 0;
    double latest_tag = 0;
    double total_weight = 0;
    std::size_t next_sweep_size = min_sweep_size;
};

} // namespace fireflysail
