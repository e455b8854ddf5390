#pragma once

#include "admission/admission_control.hpp"
#include "blackboard/blackboard.hpp"
#include "common/clock.hpp"
#include "control/crash_registry.hpp"
#include "control/engine_prober.hpp"
#include "demand/local_demand.hpp"
#include "metrics/request_metrics.hpp"
#include "relay/answer_memory.hpp"
#include "relay/backend_pool.hpp"
#include "relay/hedging.hpp"
#include "relay/message_codec.hpp"
#include "relay/peer_balancer.hpp"
#include "relay/rate_limit_gate.hpp"
#include "relay/reach_prober.hpp"
#include "relay/request_memory.hpp"
#include "relay/stall_monitor.hpp"
#include "routing/congestion_tracker.hpp"
#include "routing/drain_policy.hpp"
#include "routing/outage_policy.hpp"
#include "routing/retry_budget.hpp"
#include "routing/server_backoff.hpp"
#include "routing/server_balancer.hpp"
#include "serving/pipeline_router.hpp"
#include "settings/node_settings.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>

namespace fireflysail
{

/// Until their number is known: more than a fleet has, so that all together
/// keep to the budget.
inline constexpr std::size_t unknown_instances = 100;

/// What all requests of the traffic thread share.
struct relay_context
{
    asio::any_io_executor executor;
    const clock& time;
    const node_settings& node;
    blackboard& board;
    const message_codec& codec;
    pipeline_router& pipelines;
    server_balancer& servers;
    engine_prober& inquiry;
    crash_registry& crashes;
    stall_monitor& stalls;
    backend_pool& pool;
    rate_limit_gate& rate_limits;
    server_backoff& backoff;
    request_metrics& metrics;
    std::mt19937_64& random;
    /// Budget of each service for sending a request once more. Requests hold
    /// on to theirs while they wait, so the map must not move its values.
    absl::node_hash_map<service_id, retry_budget> retry_budgets;
    /// Requests of this instance, for the demand of the fleet.
    local_demand demand{};
    /// Services whose requests are not all equally urgent.
    absl::flat_hash_set<service_id> ranked_services{};
    admission_control admission{};
    /// Load of the services that have a recent view of the fleet and whose
    /// requests are not all equally urgent.
    absl::flat_hash_map<service_id, service_load> service_loads{};
    /// Moving average; zero until a stream has ended.
    duration mean_stream_time{};
    /// Set once the instance stops: answers end their connections.
    bool draining = false;
    drain_policy stop{{}};
    answer_memory answers{answer_memory::share_of(this->node.memory)};
    request_memory bodies{request_memory::share_of(this->node.memory)};
    outage_policy outages{{}};
    congestion_tracker congestion{congestion_tracker::options{}};
    hedging hedges{this->node.hedge_limit, this->node.bounds.retry_window};
    /// Tells the other instances of a congested pipeline, by its first stage.
    std::function<void(const server_id&)> share_congestion =
        [](const server_id&) {};
    /// Called when a server says in an answer that this boot of it leaves.
    std::function<void(const server_id&, std::uint64_t boot)> on_leaving =
        [](const server_id&, std::uint64_t) {};
    /// The store has not answered for a while.
    bool store_is_lost = false;
    /// Time since the view of the configuration, or of the backend servers, was
    /// known to be complete; none if it never was, or is known not to be.
    std::function<std::optional<duration>()> config_age = []
    {
        return duration::zero();
    };
    std::function<std::optional<duration>()> servers_age = []
    {
        return duration::zero();
    };
    /// Instances that share the retry budgets, as far as known.
    std::size_t instances = unknown_instances;
    /// Requests being served.
    std::size_t active_requests = 0;
    std::size_t open_connections = 0;
    reach_prober reach{this->executor, this->time, this->board, this->random};
    peer_balancer peers{peer_balancer::options{}};
    /// Requests that were sent to another instance, and that others sent.
    std::uint64_t passed_on = 0;
    std::uint64_t taken_for_peers = 0;
};

/// Takes the number of instances among which retries are divided.
void set_instances(relay_context& relay, std::size_t instances);

/// Budget of the service; made when it is first asked for.
retry_budget& budget_of(relay_context& relay, const service_id& service);

} // namespace fireflysail
