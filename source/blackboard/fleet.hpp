#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflysail
{

/// Where a process listens; the host is an IP number.
struct endpoint
{
    std::string host;
    int port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// What the operators say of a backend server.
enum class server_mark
{
    joining,
    serving,
    leaving,
    stopping,
};

enum class server_role
{
    mixed,
    prefill,
    decode,
};

/// Whether a backend server refuses orders with an old fencing number.
enum class fencing_support
{
    refuses_old,
    ignores,
};

/// Layers of one model version that an engine holds in memory.
struct holding
{
    model_id model;
    model_version version;
    layer_range layers;
    std::vector<adapter_id> adapters;

    auto operator<=>(const holding&) const = default;
};

/// Load as reported by an engine; always late.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    token_count free_kv;
    /// Mean streams whose KV cache fits beside the layers; zero while unknown.
    std::uint32_t fitting_streams = 0;
    /// Time of one decoding step of the layers held, at the reported batch.
    duration step_time{};
    /// Time that each stream adds to a step, for engines whose `step_time` is
    /// that of an empty batch; zero where `step_time` contains the load.
    duration step_time_per_stream{};
    /// Time to prefill one token through the layers held.
    duration prefill_time_per_token{};
    /// When the instance received it; the engine's clock is not trusted.
    /// `time_point::min()` if the engine has not reported and the times are
    /// those of its accelerator kind.
    time_point received_at{};
};

/// A model engine that may be a stage of a pipeline.
struct engine
{
    server_id id;
    endpoint address;
    zone_id zone;
    region_id region;
    accelerator_kind kind;
    server_role role = server_role::mixed;
    server_mark mark = server_mark::serving;
    fencing_support fencing = fencing_support::ignores;
    std::vector<holding> holdings;
    load_report load;
    /// False while probes and requests to it fail.
    bool healthy = true;
    /// Service that the engine belongs to; empty where models alone tell.
    service_id service;
    /// Memory for layers and KV cache; zero while unknown.
    byte_count memory;
    /// Start of this life of the engine, in Unix milliseconds by its own
    /// account: tells two lives under one id apart. Never compared with a
    /// local clock.
    std::uint64_t started_at_ms = 0;
};

/// One backend server of a plain service.
struct service_server
{
    server_id id;
    service_id service;
    endpoint address;
    zone_id zone;
    server_mark mark = server_mark::serving;
    bool healthy = true;
    /// Requests that it runs at once; zero while unknown.
    std::uint32_t slots = 0;
    /// See engine::started_at_ms.
    std::uint64_t started_at_ms = 0;
};

/// Shape of a model: all holdings of it are ranges within [0, layers).
struct model_shape
{
    model_id id;
    std::uint32_t layers = 0;
    /// Links between zones are scarce: pipelines cross only while no zone
    /// holds the whole model.
    bool keep_in_zone = false;
};

/// One-way delay between two availability zones (unordered pair), added to
/// every token that crosses it.
struct zone_link
{
    zone_id a;
    zone_id b;
    duration delay{};
};

/// Everything known of the backend servers at one moment.
struct fleet_snapshot
{
    revision version;
    std::vector<engine> engines;
    std::vector<service_server> services;
    std::vector<model_shape> models;
    std::vector<zone_link> links;
};

/// What is listed of an engine or a plain server.
struct listed_server
{
    server_mark mark = server_mark::serving;
    std::uint64_t started_at_ms = 0;
};

/// The engine or plain server with this id; none if it is not listed.
std::optional<listed_server>
find_server(const fleet_snapshot& fleet, const server_id& server);

/// True when a server with this mark may be given new work.
bool accepts_new_work(server_mark mark);

} // namespace fireflysail
