#pragma once

#include "limits/limit_client.hpp"
#include "limits/limit_owner.hpp"
#include "simulation/event_loop.hpp"
#include "simulation/usage_record.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace fireflysail::simulation
{

struct limit_fleet_config
{
    std::size_t instances = 9;
    std::uint64_t seed = 1;
    /// Chance that a message is lost, or delivered twice.
    double loss = 0;
    double duplicates = 0;
    duration min_delay = std::chrono::microseconds{500};
    duration max_delay = std::chrono::milliseconds{2};
    std::vector<entitlement_entry> plans;
    /// Cost of each request in tokens, and how long it runs.
    std::uint64_t request_tokens = 0;
    duration request_time = std::chrono::milliseconds{50};
};

/// Messages between instances, and their bytes as limit_fleet::measure_by
/// counts them.
struct limit_message_counts
{
    std::uint64_t exchanges = 0;
    std::uint64_t bytes = 0;
};

struct limit_message_sizes
{
    std::function<std::size_t(const demand_message&)> demand;
    std::function<std::size_t(const lease_message&)> leases;
    std::function<std::size_t(const claim_message&)> claim;
    std::function<std::size_t(const claim_reply&)> claim_reply;
};

/// Instances that share the plans of some workspaces over a network that
/// loses, doubles, delays and reorders messages, on a virtual clock. Workspace
/// k has plan k of the configuration.
class limit_fleet
{
public:
    explicit limit_fleet(limit_fleet_config config);

    static instance_id id(std::size_t index);
    static workspace_id workspace(std::size_t index);

    event_loop& events();
    time_point now() const;
    void run_for(duration time);

    /// Offered requests per second of a workspace at one instance.
    void
    set_demand(std::size_t instance, std::size_t workspace, double per_second);

    /// The instance and its requests are gone at once.
    void kill(std::size_t instance);
    /// Starts anew, knowing nothing of what it did before.
    void restart(
        std::size_t instance,
        const std::vector<std::size_t>& live,
        std::size_t fleet_size);
    /// Runs nothing until woken; messages to it wait.
    void pause(std::size_t instance);
    void wake(std::size_t instance);
    /// Index of the instance that owns the workspace in the view of `viewer`.
    std::size_t owner(std::size_t viewer, std::size_t workspace) const;

    /// What one instance sees.
    void set_view(
        std::size_t instance,
        const std::vector<std::size_t>& live,
        std::size_t fleet_size);
    /// What all see that are up, each by a time of its own below `spread`.
    void spread_view(
        const std::vector<std::size_t>& live,
        std::size_t fleet_size,
        duration spread);
    /// Messages between a and b are lost while this says so.
    void set_broken(std::function<bool(std::size_t, std::size_t)> link_broken);
    void set_loss(double loss);

    const usage_record& requests(std::size_t workspace) const;
    const usage_record& tokens(std::size_t workspace) const;
    std::uint32_t most_running(std::size_t workspace) const;
    void reset_most_running();
    const limit_message_counts& messages() const;
    void measure_by(limit_message_sizes sizes);
    limit_owner& owner_of_instance(std::size_t instance);

private:
    struct waiting_queue
    {
        double per_second = 0;
        std::uint64_t generation = 0;
        std::size_t waiting = 0;
        bool polling = false;
    };

    struct instance
    {
        explicit instance(const instance_id& id)
            : client{id}
            , owner{id}
        {
        }

        limit_client client;
        limit_owner owner;
        limits_view view;
        bool up = true;
        bool paused = false;
        std::map<std::size_t, waiting_queue> queues;
        std::vector<std::function<void()>> delayed;
    };

    void start(std::size_t index);
    void tick(std::size_t index);
    void arrive(std::size_t index, std::size_t workspace, std::uint64_t gen);
    void poll(std::size_t index, std::size_t workspace);
    /// Admits what waits until one is refused; when to try that one again.
    duration admit_waiting(std::size_t index, std::size_t workspace);
    bool attempt(
        std::size_t index,
        std::size_t workspace,
        attempt_kind kind,
        duration& retry_after);
    void send_demand(std::size_t from, const outgoing_demand& demand);
    void send_claim(std::size_t from, const outgoing_claim& claim);
    void
    deliver(std::size_t from, std::size_t to, std::function<void()> action);
    void run_on(std::size_t index, std::function<void()> action);

    limit_fleet_config config;
    event_loop loop;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<instance>> instances;
    std::map<instance_id, std::size_t> indices;
    std::function<bool(std::size_t, std::size_t)> broken;
    std::vector<usage_record> request_usage;
    std::vector<usage_record> token_usage;
    std::vector<std::uint32_t> running;
    std::vector<std::uint32_t> peak;
    limit_message_counts counts;
    std::optional<limit_message_sizes> sizes;
};

/// All indices from 0 below `count` but those listed.
std::vector<std::size_t>
all_but(std::size_t count, const std::vector<std::size_t>& absent);

} // namespace fireflysail::simulation
