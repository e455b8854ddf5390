// Sums the demand of the fleet and passes it on to routing and admission.

#include "main/relay_process.hpp"

#include "common/log.hpp"
#include "demand/demand_sharing.hpp"

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// The configuration is looked through this often while it does not call for
/// the demand of the fleet.
constexpr duration scope_interval = 500ms;

/// Logged cutoff of a service of which no request is refused.
constexpr std::uint32_t none_refused = max_demand_rank + 1;

} // namespace

void relay_process::update_demand_scope()
{
    const auto config = this->board.traffic.load();
    if (config == this->demand_config || !config)
    {
        return;
    }
    this->demand_config = config;
    this->shares_demand = calls_for_demand_sharing(*config);
    this->relay.ranked_services.clear();
    for (const auto& [id, profile] : config->services)
    {
        if (has_ranks(*config, id))
        {
            this->relay.ranked_services.insert(id);
        }
    }
    this->workspace_keys.clear();
    this->workspace_ranks.clear();
    for (const auto& [key, holder] : config->keys)
    {
        const demand_key id = workspace_key(holder.workspace.str());
        this->workspace_keys[holder.workspace] = id;
        if (holder.rank)
        {
            this->workspace_ranks[id] = *holder.rank;
        }
    }
}

void relay_process::share_demand()
{
    this->update_demand_scope();
    const time_point now = this->time.now();
    time_point next = now + scope_interval;
    if (this->shares_demand && this->notices.is_open())
    {
        const auto peers = this->census.peers();
        if (peers != this->demand_peers)
        {
            this->demand_peers = peers;
            std::vector<instance_id> ids;
            std::ranges::transform(
                *peers, std::back_inserter(ids), &peer_instance::id);
            this->demand.set_peers(ids);
        }
        this->demand.set_own(this->relay.demand.rows(now), now);
        this->send_demand(this->demand.poll(now));
        this->apply_demand();
        next = std::max(this->demand.next_step_at(), now + 1ms);
    }
    call_after(
        this->demand_timer,
        next - now,
        [this]
        {
            this->share_demand();
        });
}

void relay_process::send_demand(
    const std::vector<fleet_demand::outgoing>& messages)
{
    for (const fleet_demand::outgoing& each : messages)
    {
        const auto found = std::ranges::find(
            *this->demand_peers, each.receiver, &peer_instance::id);
        if (found != this->demand_peers->end())
        {
            this->demand.on_sent(this->notices.send(
                demand_notice{this->settings.self, each.message},
                std::span{&found->address, 1}));
        }
    }
}

void relay_process::on_demand(
    const instance_id& from, const demand_message& message)
{
    if (!this->shares_demand || !this->demand_peers)
    {
        return;
    }
    const time_point now = this->time.now();
    this->demand.set_own(this->relay.demand.rows(now), now);
    this->send_demand(this->demand.on_message(from, message, now));
}

void relay_process::apply_demand()
{
    const auto view = this->demand.view(this->time.now());
    if (!view)
    {
        this->relay.service_loads.clear();
        return;
    }
    this->update_streams(*view);
    this->update_plain_servers(*view);
    this->update_admission(*view);
}

void relay_process::update_streams(const demand_view& view)
{
    // Counts of two engines with one id cannot be told apart.
    absl::flat_hash_map<demand_key, int> uses;
    const auto fleet = this->board.fleet.load();
    for (const model_shape& model : fleet->models)
    {
        for (const server_id& first : this->pipelines.first_stages(model.id))
        {
            ++uses[pipeline_key(first.str())];
        }
    }
    this->pipelines.set_fleet_streams(
        [&](const server_id& first) -> std::optional<double>
        {
            const demand_key key = pipeline_key(first.str());
            return uses[key] == 1 ? std::optional{view.of(key).in_flight}
                                  : std::nullopt;
        },
        view.measured_at);
}

void relay_process::update_plain_servers(const demand_view& view)
{
    const auto fleet = this->board.fleet.load();
    absl::flat_hash_map<demand_key, int> uses;
    for (const service_server& server : fleet->services)
    {
        ++uses[plain_server_key(server.id.str())];
    }
    for (const service_server& server : fleet->services)
    {
        const demand_key key = plain_server_key(server.id.str());
        if (uses[key] > 1)
        {
            continue;
        }
        const demand_counts counts = view.of(key);
        const duration mean_time =
            counts.answered > 0
                ? std::chrono::duration_cast<duration>(
                      std::chrono::duration<double>{
                          counts.response_time / counts.answered})
                : duration::zero();
        this->servers.set_fleet_counts(
            server.id,
            {counts.in_flight, counts.answered, counts.failed, mean_time},
            view.measured_at);
    }
}

void relay_process::update_admission(const demand_view& view)
{
    const time_point now = this->time.now();
    std::vector<workspace_arrivals> workspaces;
    for (const auto& [key, counts] : view.rows)
    {
        if (key.subject == demand_subject::workspace &&
            key != other_workspaces_key())
        {
            workspaces.push_back({key, counts.arrivals});
        }
    }
    for (auto& known : workspaces)
    {
        const auto rank = this->workspace_ranks.find(known.workspace);
        if (rank != this->workspace_ranks.end())
        {
            known.rank = rank->second;
        }
    }
    const auto unusable = this->inquiry.avoided();
    this->relay.service_loads.clear();
    for (const service_id& service : this->relay.ranked_services)
    {
        const model_id model{service.str()};
        service_load load;
        load.measured_at = view.measured_at;
        load.mean_duration = this->relay.mean_stream_time;
        load.capacity = this->pipelines.stream_capacity(model, unusable);
        for (const server_id& first : this->pipelines.first_stages(model))
        {
            load.in_flight += view.of(pipeline_key(first.str())).in_flight;
        }
        for (std::uint32_t rank = 0; rank <= max_demand_rank; ++rank)
        {
            const auto counts = view.of(service_rank_key(service.str(), rank));
            load.arrivals[rank] = counts.arrivals;
            load.refused[rank] = counts.refused;
        }
        if (load.capacity <= 0)
        {
            continue;
        }
        this->relay.admission.set_workspace_demand(service, workspaces);
        this->relay.admission.update(service, load, now);
        this->relay.service_loads[service] = load;
        this->log_admission(service);
    }
}

void relay_process::log_admission(const service_id& service)
{
    const auto state = this->relay.admission.state(service, this->time.now());
    if (!state)
    {
        return;
    }
    const std::uint32_t cutoff = state->cutoff.value_or(none_refused);
    const auto [logged, is_new] =
        this->logged_cutoffs.try_emplace(service, none_refused);
    if (logged->second == cutoff)
    {
        return;
    }
    logged->second = cutoff;
    const service_load& load = this->relay.service_loads[service];
    log::event(
        log::level::info,
        log::channel::routing,
        "admission_cutoff",
        {{"service", service.str()},
         {"refuses", state->cutoff.has_value()},
         {"most_urgent_refused", state->cutoff.value_or(0)},
         {"occupancy", state->occupancy},
         {"capacity", load.capacity},
         {"in_flight", load.in_flight}});
}

void relay_process::write_demand_metrics(std::string& text) const
{
    const auto add =
        [&text](std::string_view name, std::string_view labels, double value)
    {
        fmt::format_to(
            std::back_inserter(text),
            "fireflysail_{}{{{}}} {}\n",
            name,
            labels,
            value);
    };
    const time_point now = this->time.now();
    const auto view = this->demand.view(now);
    fmt::format_to(
        std::back_inserter(text),
        "fireflysail_shares_demand {}\n",
        this->shares_demand ? 1 : 0);
    if (!view || !this->shares_demand)
    {
        return;
    }
    fmt::format_to(
        std::back_inserter(text),
        "fireflysail_demand_view_age_seconds {}\n"
        "fireflysail_demand_covered_share {}\n",
        to_seconds(now - view->measured_at),
        view->covered_share);
    for (const auto& [service, profile] : this->demand_config->services)
    {
        for (std::uint32_t rank = 0; rank <= max_demand_rank; ++rank)
        {
            const auto counts = view->of(service_rank_key(service.str(), rank));
            if (counts == demand_counts{})
            {
                continue;
            }
            const std::string labels =
                fmt::format("service=\"{}\",rank=\"{}\"", service.str(), rank);
            add("demand_arrivals_per_second", labels, counts.arrivals);
            add("demand_refused_per_second", labels, counts.refused);
            add("demand_in_flight", labels, counts.in_flight);
        }
        const auto state = this->relay.admission.state(service, now);
        const auto load = this->relay.service_loads.find(service);
        if (state && load != this->relay.service_loads.end())
        {
            const std::string labels =
                fmt::format("service=\"{}\"", service.str());
            add("admission_occupancy", labels, state->occupancy);
            add("admission_capacity_streams", labels, load->second.capacity);
            add("admission_refuses", labels, state->cutoff ? 1 : 0);
        }
    }
    for (const auto& [workspace, key] : this->workspace_keys)
    {
        const auto counts = view->of(key);
        if (counts.arrivals > 0)
        {
            add("demand_arrivals_per_second",
                fmt::format("workspace=\"{}\"", workspace.str()),
                counts.arrivals);
        }
    }
}

} // namespace fireflysail
