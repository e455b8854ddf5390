#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// What may be done again with a request of a route.
enum class route_kind
{
    idempotent,
    non_idempotent,
    /// A stream of events with increasing ids.
    stream,
};

struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;

    auto operator<=>(const weighted_service&) const = default;
};

/// Where requests of one host and path prefix go, and how.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::non_idempotent;
    /// At least one; drawn by weight.
    std::vector<weighted_service> services;
    /// Longest time that a caller is kept waiting for the end of its answer.
    duration timeout{};
    /// Time within which an answer (of a stream: its first event) is on time.
    duration latency_objective{};
    /// Longest pause between the events of a stream that is on time.
    duration gap_objective{};
    /// Backend servers that one attempt of a caller may be sent to.
    std::uint32_t most_attempts = 1;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    bool needs_key = true;
    /// A broken stream may go on at another engine after the last event.
    bool resumable = false;
    /// Requests name a model and describe their prompt.
    bool carries_prompt = false;
};

/// Speed and memory of one kind of accelerator, relative to the model's own
/// figures.
struct accelerator_profile
{
    accelerator_kind kind;
    byte_count memory;
    /// Factor on the time of a decoding step.
    double step_factor = 1;
    /// Factor on the time of prefilling.
    double prefill_factor = 1;
};

/// Costs of the model that the engines of one service run.
struct engine_profile
{
    std::uint32_t layers = 0;
    byte_count layer_size;
    /// KV cache of one token over all layers.
    byte_count kv_per_token;
    /// What one token hands on between two stages.
    byte_count activation_size;
    /// Decoding step of all layers for an empty batch, and what each stream
    /// adds to it.
    duration step_time{};
    duration step_time_per_stream{};
    /// What each token of a stream's context adds to the step.
    duration step_time_per_context_token{};
    double prefill_tokens_per_second = 0;
    /// Load of all layers from the weight store, alone.
    duration load_time{};
    /// Loads at once that the weight store serves at full speed.
    std::uint32_t loads_at_once = 1;
    /// Streams that one engine batches.
    std::uint32_t batch = 1;
    std::uint32_t mean_prompt_tokens = 0;
    std::uint32_t mean_output_tokens = 0;
    std::vector<accelerator_profile> accelerators;
    std::vector<zone_link> links;
};

struct service_profile
{
    service_id id;
    std::string health_path;
    /// Connections that one backend server accepts from all callers.
    std::uint32_t most_connections = 0;
    /// Present for services whose servers are model engines.
    std::optional<engine_profile> engines;
};

struct caller_limits
{
    byte_count header{16384};
    byte_count body{1048576};
    /// From the first byte of a request to the end of its header.
    duration header_time = std::chrono::seconds{5};
    duration idle_time = std::chrono::seconds{30};
};

struct key_holder
{
    workspace_id workspace;
    /// Goes before the rank of a route, where set.
    std::optional<std::uint32_t> rank;
};

/// Everything that the operators say about traffic, at one version; immutable.
struct traffic_config
{
    /// Set by the operators; grows with each change.
    std::uint64_t version = 0;
    /// Of the store's object that it was read from.
    revision stored_at;
    time_point read_at{};
    /// By host, the longest prefix first.
    absl::flat_hash_map<std::string, std::vector<route>> routes;
    absl::flat_hash_map<service_id, service_profile> services;
    caller_limits limits;
    absl::flat_hash_map<std::string, key_holder> keys;
    /// False while no workspaces are configured: then no request needs a key.
    bool has_workspaces = false;
};

/// The route with the longest prefix that begins `path`; null if none does.
const route* find_route(
    const traffic_config& config, std::string_view host, std::string_view path);

} // namespace fireflysail
