#include "serving/pipeline_router.hpp"

#include "common/hash.hpp"
#include "common/log.hpp"
#include "common/store_era.hpp"
#include "routing/progress_monitor.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <ranges>
#include <set>

namespace fireflysail
{

namespace
{

/// Streams end by themselves within seconds. A count that falls faster than by
/// this time constant tells of streams that broke, not of free capacity: taken
/// as it is, it draws the new streams of all instances to a dead pipeline.
constexpr std::chrono::duration<double> stream_decay_time{1.5};

/// Counts of streams older than this say little of the present load.
constexpr duration fleet_streams_lifetime = std::chrono::seconds{2};

/// Streams admitted relative to those that would fit with their whole context:
/// a stream in flight holds its prompt and, on the mean, half of its output. A
/// preempted stream is late; a refused one is late or lost.
constexpr double overcommit = 1.4;

std::mt19937_64& thread_random()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return random;
}

const holding* find_holding(const engine& server, const model_id& model)
{
    const auto found =
        std::ranges::find(server.holdings, model, &holding::model);
    return found == server.holdings.end() ? nullptr : &*found;
}

std::size_t slots_of(const fleet_snapshot& fleet, const model_shape& model)
{
    std::vector<std::size_t> slots(model.layers, 0);
    for (const engine& server : fleet.engines)
    {
        const auto* held = find_holding(server, model.id);
        if (held == nullptr || !server.healthy ||
            !accepts_new_work(server.mark))
        {
            continue;
        }
        const auto last = std::min(held->layers.last.value(), model.layers);
        for (auto i = held->layers.first.value(); i < last; ++i)
        {
            slots[i] += std::max<std::size_t>(1, server.load.slots);
        }
    }
    return slots.empty() ? 0 : *std::ranges::min_element(slots);
}

/// One line a planned pipeline.
void log_plan(const route_table& routes, const fleet_snapshot& fleet)
{
    if (!log::enabled(log::level::debug))
    {
        return;
    }
    for (const auto& [key, set] : routes.sets)
    {
        for (const pipeline& planned : set->candidates)
        {
            std::string stages;
            for (const stage& part : planned.stages)
            {
                const auto server =
                    std::ranges::find(fleet.engines, part.server, &engine::id);
                stages += fmt::format(
                    "{}@{}={}-{} ",
                    part.server.str(),
                    server == fleet.engines.end() ? "" : server->zone.str(),
                    part.layers.first.value(),
                    part.layers.last.value());
            }
            log::event(
                log::level::debug,
                log::channel::routing,
                "pipeline_planned",
                {{"model", key.model.str()},
                 {"version", key.version.str()},
                 {"share", planned.share},
                 {"step_ms",
                  std::chrono::duration<double, std::milli>{planned.step_time}
                      .count()},
                 {"stages", stages},
                 {"fleet_revision", change_number_of(fleet.version)}});
        }
    }
}

} // namespace

pipeline_router::pipeline_router(
    const clock& time, const snapshot_cell<fleet_snapshot>& fleet)
    : time{time}
    , fleet{fleet}
    , loads{time}
    , fleet_streams(max_engine_slots)
    , last_tokens(max_engine_slots)
{
    auto empty = std::make_shared<view>();
    empty->fleet = std::make_shared<fleet_snapshot>();
    empty->routes = std::make_shared<route_table>();
    this->current.publish(empty);
}

void pipeline_router::refresh()
{
    const auto before = this->current.load();
    const auto now_fleet = this->fleet.load();
    const bool ejection_changed = this->ejections.evaluate(
        *before->routes, this->times, this->states, this->time.now());
    if (now_fleet == before->fleet && !ejection_changed)
    {
        return;
    }
    auto next = std::make_shared<view>();
    next->fleet = now_fleet;
    next->routes =
        plan_routes(*now_fleet, before->routes, this->ejections.ejected());
    for (const engine& server : now_fleet->engines)
    {
        next->addresses[server.id] = server.address;
    }
    this->take_reports(*now_fleet, *next->routes);
    log_plan(*next->routes, *now_fleet);
    this->current.publish(std::move(next));
}

void pipeline_router::take_reports(
    const fleet_snapshot& reported, const route_table& routes)
{
    for (const engine& server : reported.engines)
    {
        const auto slot = routes.slot_of(server.id);
        if (slot && server.load.slots > 0)
        {
            this->loads.set_fitting_streams(*slot, server.load.fitting_streams);
            this->loads.report(
                *slot,
                stable_hash(server.id.str()),
                server.load,
                server.load.received_at);
        }
    }
    for (const auto& [key, set] : routes.sets)
    {
        this->loads.update_utilization(*set);
    }
}

route_outcome pipeline_router::choose(const route_request& request) const
{
    const auto now = this->current.load();
    const auto choice = choose_pipeline(
        *now->routes, request, this->view_now(), thread_random());
    if (const auto* none = std::get_if<no_route>(&choice))
    {
        return *none;
    }
    const auto& chosen = std::get<chosen_pipeline>(choice);
    auto routed = with_addresses(*now, *chosen.route, chosen.expected);
    if (!routed)
    {
        return no_route::not_covered;
    }
    return *std::move(routed);
}

std::optional<routed_pipeline> pipeline_router::replace(
    const pipeline& previous,
    const std::vector<server_id>& lost,
    const route_request& request) const
{
    const auto now = this->current.load();
    const auto seen = this->view_now();
    const auto found =
        plan_replacement(*now->routes, previous, lost, seen, thread_random());
    if (!found)
    {
        return std::nullopt;
    }
    return with_addresses(
        *now, found->route, estimate_completion(found->route, request, seen));
}

bool pipeline_router::has_fleet_streams() const
{
    return this->time.now() <
           this->fleet_streams_at.load(std::memory_order_relaxed) +
               fleet_streams_lifetime;
}

load_view pipeline_router::view_now() const
{
    return {
        this->loads,
        this->times,
        this->states,
        this->prefixes,
        this->time.now(),
        this->has_fleet_streams()};
}

std::optional<routed_pipeline> pipeline_router::with_addresses(
    const view& known,
    const pipeline& route,
    const completion_estimate& expected)
{
    routed_pipeline routed{route, expected, {}};
    for (const stage& part : route.stages)
    {
        const auto address = known.addresses.find(part.server);
        if (address == known.addresses.end())
        {
            return std::nullopt;
        }
        routed.stages.push_back({part.server, address->second, part.layers});
    }
    return routed;
}

pipeline_router::usage::usage(pipeline_router& router, const pipeline& used)
    : router{router}
    , used{used}
{
    router.loads.begin(used);
}

pipeline_router::usage::~usage()
{
    this->router.loads.end(this->used);
}

void pipeline_router::on_first_stage_load(
    const pipeline& used, std::uint32_t running, std::uint32_t waiting)
{
    const stage& first = used.stages.front();
    const auto now = this->current.load();
    const auto server =
        std::ranges::find(now->fleet->engines, first.server, &engine::id);
    if (server == now->fleet->engines.end())
    {
        return;
    }
    load_report load = server->load;
    load.running = running;
    load.waiting = waiting;
    this->loads.report(first.slot, first.server_key, load, this->time.now());
}

void pipeline_router::set_fleet_streams(
    const std::function<std::optional<double>(const server_id&)>& streams_at,
    time_point measured_at)
{
    const duration passed =
        measured_at - this->fleet_streams_at.load(std::memory_order_relaxed);
    const double kept = std::exp(
        -std::chrono::duration<double>{std::max(passed, duration::zero())} /
        stream_decay_time);
    this->fleet_streams_at.store(measured_at, std::memory_order_relaxed);
    const auto now = this->current.load();
    for (const auto& [key, set] : now->routes->sets)
    {
        for (const pipeline& planned : set->candidates)
        {
            const stage& first = planned.stages.front();
            const auto streams = streams_at(first.server);
            const auto server = std::ranges::find(
                now->fleet->engines, first.server, &engine::id);
            if (!streams || server == now->fleet->engines.end())
            {
                continue;
            }
            double& counted = this->fleet_streams[first.slot.value()];
            counted = std::max(*streams, counted * kept);
            load_report load = server->load;
            load.running = static_cast<std::uint32_t>(std::lround(counted));
            load.waiting = 0;
            this->loads.report(first.slot, first.server_key, load, measured_at);
        }
    }
}

double pipeline_router::stream_capacity(
    const model_id& model, std::span<const server_id> unusable) const
{
    const auto now = this->current.load();
    const auto shape =
        std::ranges::find(now->fleet->models, model, &model_shape::id);
    if (shape == now->fleet->models.end() || shape->layers == 0)
    {
        return 0;
    }
    std::vector<double> streams(shape->layers, 0);
    for (const engine& server : now->fleet->engines)
    {
        const auto* held = find_holding(server, model);
        const bool is_usable =
            held != nullptr && server.healthy &&
            accepts_new_work(server.mark) &&
            std::ranges::find(unusable, server.id) == unusable.end();
        if (!is_usable)
        {
            continue;
        }
        const double slots = server.load.slots;
        const double fitting = server.load.fitting_streams * overcommit;
        // Only the first engine of a pipeline holds a slot for each stream.
        const bool is_first = held->layers.first.value() == 0;
        const double capacity = fitting == 0 ? slots
                                : is_first   ? std::min(slots, fitting)
                                             : fitting;
        const auto last = std::min(held->layers.last.value(), shape->layers);
        for (auto i = held->layers.first.value(); i < last; ++i)
        {
            streams[i] += capacity;
        }
    }
    return *std::ranges::min_element(streams);
}

void pipeline_router::on_token(const pipeline& used, duration token_time)
{
    const auto now = this->time.now();
    this->times.observe_token(used, token_time, now);
    for (const stage& part : used.stages)
    {
        this->last_tokens[part.slot.value()].store(
            now.time_since_epoch().count(), std::memory_order_relaxed);
    }
}

void pipeline_router::on_failure(const pipeline& used, const server_id& server)
{
    for (const stage& part : used.stages)
    {
        if (server.empty() || part.server == server)
        {
            this->times.observe(
                part,
                part.step_time,
                service_outcome::failed,
                this->time.now());
        }
    }
}

std::optional<server_id> pipeline_router::stalled_stage(
    const pipeline& used, time_point silent_since) const
{
    const auto stalled = std::ranges::find_if(
        used.stages,
        [&](const stage& part)
        {
            const auto slot = part.slot.value();
            const time_point last_token{duration{
                this->last_tokens[slot].load(std::memory_order_relaxed)}};
            const auto streams =
                std::max(0, this->loads.own_streams(part.slot));
            return has_stalled(
                {last_token, static_cast<std::size_t>(streams)},
                silent_since,
                used.step_time);
        });
    if (stalled == used.stages.end())
    {
        return std::nullopt;
    }
    return stalled->server;
}

void pipeline_router::on_prefix(std::uint64_t prefix, const pipeline& used)
{
    this->prefixes.remember(prefix, used);
}

bool pipeline_router::covers_all_models() const
{
    const auto now = this->current.load();
    return std::ranges::all_of(
        now->fleet->models,
        [&now](const model_shape& model)
        {
            const auto found = now->routes->versions.find(model.id);
            return found != now->routes->versions.end() &&
                   std::ranges::any_of(
                       found->second,
                       [](const route_set_pointer& set)
                       {
                           return !set->candidates.empty();
                       });
        });
}

std::vector<server_id>
pipeline_router::first_stages(const model_id& model) const
{
    const auto now = this->current.load();
    std::vector<server_id> servers;
    for (const auto& [key, set] : now->routes->sets)
    {
        if (key.model != model)
        {
            continue;
        }
        for (const pipeline& planned : set->candidates)
        {
            servers.push_back(planned.stages.front().server);
        }
    }
    // Pipelines that are not disjoint may begin at one engine.
    std::ranges::sort(servers);
    const auto repeated = std::ranges::unique(servers);
    servers.erase(repeated.begin(), repeated.end());
    return servers;
}

std::vector<server_id> pipeline_router::first_stages() const
{
    const auto now = this->current.load();
    std::vector<server_id> servers;
    for (const auto& [key, set] : now->routes->sets)
    {
        for (const pipeline& planned : set->candidates)
        {
            servers.push_back(planned.stages.front().server);
        }
    }
    return servers;
}

bool pipeline_router::covers_every_zone() const
{
    const auto now = this->current.load();
    std::set<zone_id> zones;
    std::ranges::transform(
        now->fleet->engines, std::inserter(zones, zones.end()), &engine::zone);
    std::set<zone_id> covered;
    for (const auto& [key, set] : now->routes->sets)
    {
        for (const pipeline& planned : set->candidates)
        {
            const auto first = std::ranges::find(
                now->fleet->engines,
                planned.stages.front().server,
                &engine::id);
            if (first != now->fleet->engines.end())
            {
                covered.insert(first->zone);
            }
        }
    }
    return zones == covered;
}

std::vector<std::pair<model_id, std::size_t>>
pipeline_router::model_slots() const
{
    const auto now = this->current.load();
    std::vector<std::pair<model_id, std::size_t>> slots;
    std::ranges::transform(
        now->fleet->models,
        std::back_inserter(slots),
        [&now](const model_shape& model)
        {
            return std::pair{model.id, slots_of(*now->fleet, model)};
        });
    return slots;
}

} // namespace fireflysail
