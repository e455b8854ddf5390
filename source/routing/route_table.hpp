#pragma once

#include "routing/stage_graph.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <vector>

namespace fireflysail
{

/// Identifies the pipelines of one model version, optionally restricted to
/// those whose stages all hold an adapter.
struct route_key
{
    model_id model;
    model_version version;
    /// Empty when no adapter is required.
    adapter_id adapter;

    auto operator<=>(const route_key&) const = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, const route_key& key)
    {
        return Hash::combine(
            std::move(state), key.model, key.version, key.adapter);
    }
};

/// Candidate pipelines for one key.
struct route_set
{
    route_key key;
    stage_graph graph;
    /// Hash of the graph: equal graphs have equal candidates.
    std::uint64_t content = 0;
    std::vector<pipeline> candidates;
    /// Cumulative sums of the shares, to draw a candidate in proportion to
    /// them.
    std::vector<double> cumulative_share;
    /// Whether no two candidates have an engine in common. There are few
    /// candidates then, and the load of each is its own.
    bool are_disjoint = false;
    /// By engine of the graph: step time, without load, of the layers that it
    /// runs for one stream, on average over the candidates.
    std::vector<duration> step_per_stream;

    double total_share() const;
};

/// Fastest times per layer of one accelerator kind on one model, which are
/// about those of an idle engine.
struct kind_speed
{
    duration step_time{};
    duration prefill_time_per_token{};
};

struct kind_key
{
    model_id model;
    accelerator_kind kind;

    auto operator<=>(const kind_key&) const = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, const kind_key& key)
    {
        return Hash::combine(std::move(state), key.model, key.kind);
    }
};

using route_set_pointer = std::shared_ptr<const route_set>;

/// All pipelines that requests can use. Immutable once published.
struct route_table
{
    absl::flat_hash_map<route_key, route_set_pointer> sets;
    /// Sets of each model that need no adapter, ordered by version.
    absl::flat_hash_map<model_id, std::vector<route_set_pointer>> versions;
    absl::flat_hash_map<server_id, engine_slot> slots;
    engine_slot next_slot;
    absl::flat_hash_map<kind_key, kind_speed> speeds;

    /// Null when there is no set for the key.
    const route_set* find(const route_key& key) const;

    std::optional<engine_slot> slot_of(const server_id& server) const;
};

} // namespace fireflysail
