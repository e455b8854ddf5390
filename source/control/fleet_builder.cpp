#include "control/fleet_builder.hpp"

#include "routing/pipeline.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Added to the delay of each link between availability zones. Those links are
/// shared by all streams and their traffic is charged, so a pipeline stays
/// within a zone while the zone has a complete one.
constexpr duration cross_zone_penalty = 50ms;

/// Number of streams that fit into the engine's memory: 0 when unknown, and at
/// least 1 even when no memory is left.
std::uint32_t estimate_fitting_streams(
    const engine_profile& profile,
    const accelerator_profile& accelerator,
    std::uint32_t held_layer_count)
{
    const std::uint64_t weights = held_layer_count * profile.layer_size.value();
    const std::uint64_t memory = accelerator.memory.value();
    const std::uint64_t tokens =
        std::uint64_t{profile.mean_prompt_tokens} + profile.mean_output_tokens;
    const std::uint64_t stream_size =
        profile.layers == 0 ? 0
                            : tokens * profile.kv_per_token.value() *
                                  held_layer_count / profile.layers;
    if (stream_size == 0)
    {
        return 0;
    }
    const std::uint64_t free_memory = memory > weights ? memory - weights : 0;
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
        free_memory / stream_size,
        1,
        std::numeric_limits<std::uint32_t>::max()));
}

/// Time that one more stream adds to each step of the streams beside it: its
/// own decoding, the attention over its context, and its prompt, which the
/// engine prefills between steps, spread over the tokens that it produces.
duration estimate_step_per_stream(
    const engine_profile& profile,
    const accelerator_profile& accelerator,
    double held_share,
    duration prefill_time_per_token)
{
    const double output = std::max(1U, profile.mean_output_tokens);
    const double mean_context = profile.mean_prompt_tokens + output / 2;
    const std::chrono::duration<double, std::nano> decoding =
        (profile.step_time_per_stream +
         profile.step_time_per_context_token * mean_context) *
        accelerator.step_factor * held_share;
    const std::chrono::duration<double, std::nano> prefill =
        prefill_time_per_token * profile.mean_prompt_tokens / output;
    return std::chrono::duration_cast<duration>(decoding + prefill);
}

load_report idle_load(
    const server_entry& entry,
    const engine_profile& profile,
    const accelerator_profile& accelerator)
{
    std::uint32_t held_layer_count = 0;
    for (const held_layers& range : entry.layers)
    {
        held_layer_count += range.layers.size();
    }
    const double held_share =
        profile.layers == 0
            ? 0
            : static_cast<double>(held_layer_count) / profile.layers;
    load_report load;
    load.received_at = time_point::min();
    load.slots = entry.slots;
    load.fitting_streams =
        estimate_fitting_streams(profile, accelerator, held_layer_count);
    load.step_time = std::chrono::duration_cast<duration>(
        profile.step_time * accelerator.step_factor * held_share);
    if (profile.prefill_tokens_per_second > 0)
    {
        load.prefill_time_per_token =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{
                accelerator.prefill_factor * held_share /
                profile.prefill_tokens_per_second});
    }
    load.step_time_per_stream = estimate_step_per_stream(
        profile, accelerator, held_share, load.prefill_time_per_token);
    return load;
}

engine build_engine(
    const server_entry& entry,
    const engine_profile& profile,
    const accelerator_profile& accelerator)
{
    engine built;
    built.id = entry.id;
    built.address = entry.address;
    built.zone = entry.zone;
    built.kind = entry.kind;
    built.mark = entry.mark;
    built.fencing = fencing_support::refuses_old;
    built.service = entry.service;
    built.memory = accelerator.memory;
    built.started_at_ms = entry.started_at_ms;
    for (const held_layers& range : entry.layers)
    {
        built.holdings.push_back(
            {model_id{entry.service.str()}, range.version, range.layers, {}});
    }
    built.load = idle_load(entry, profile, accelerator);
    return built;
}

service_server build_server(const server_entry& entry)
{
    service_server built;
    built.id = entry.id;
    built.service = entry.service;
    built.address = entry.address;
    built.zone = entry.zone;
    built.mark = entry.mark;
    built.slots = entry.slots;
    built.started_at_ms = entry.started_at_ms;
    return built;
}

/// Layers that the model does not have are the mistake of another writer.
bool fits_model(const server_entry& entry, const engine_profile& profile)
{
    return std::ranges::all_of(
        entry.layers,
        [&profile](const held_layers& range)
        {
            return range.layers.last.value() <= profile.layers;
        });
}

} // namespace

const accelerator_profile*
find_accelerator(const engine_profile& profile, const accelerator_kind& kind)
{
    const auto found = std::ranges::find(
        profile.accelerators, kind, &accelerator_profile::kind);
    return found == profile.accelerators.end() ? nullptr : &*found;
}

fleet_snapshot build_fleet(
    const std::vector<server_entry>& entries,
    const traffic_config& config,
    revision version)
{
    fleet_snapshot fleet;
    fleet.version = version;
    for (const server_entry& entry : entries)
    {
        const auto found = config.services.find(entry.service);
        if (found == config.services.end())
        {
            continue;
        }
        const auto& profile = found->second.engines;
        if (!profile)
        {
            fleet.services.push_back(build_server(entry));
            continue;
        }
        const auto* kind = find_accelerator(*profile, entry.kind);
        // Requests go through those that the plan has room for.
        const bool has_room = fleet.engines.size() < max_engine_slots;
        if (kind != nullptr && has_room && fits_model(entry, *profile))
        {
            fleet.engines.push_back(build_engine(entry, *profile, *kind));
        }
    }
    for (const auto& [id, profile] : config.services)
    {
        if (!profile.engines)
        {
            continue;
        }
        fleet.models.push_back(
            {model_id{id.str()}, profile.engines->layers, true});
        for (zone_link link : profile.engines->links)
        {
            link.delay += cross_zone_penalty;
            fleet.links.push_back(std::move(link));
        }
    }
    return fleet;
}

} // namespace fireflysail
