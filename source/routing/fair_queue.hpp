#pragma once

#include "routing/fair_scheduler.hpp"
#include "routing/queue_entry.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <utility>

namespace fireflysail
{

inline constexpr std::size_t request_class_count = 3;

/// Index of a class in per-class tables; the highest class is 0.
constexpr std::size_t index_of(request_class priority)
{
    return static_cast<std::size_t>(priority);
}

/// Queue of work that waits for slots. Classes share service by weights so far
/// apart that a higher class is normally served first, yet no class starves.
/// Workspaces within a class share by the weight of their plan. Within a
/// workspace the entry with the shortest expected service is served first, with
/// ageing. Every operation is O(log n).
class fair_queue
{
public:
    struct options
    {
        /// Weights of the classes, from the highest class to the lowest.
        std::array<double, request_class_count> class_weights{64, 8, 1};
        /// Reduction of the expected service, as used for ordering, per second
        /// waited.
        double ageing = 1.0;
    };

    explicit fair_queue(const options& chosen);

    void push(const queue_entry& entry, time_point now);

    /// Removes and returns the next entry to run.
    std::optional<queue_entry> pop();

    /// Removes and returns a given entry that is to run out of order.
    std::optional<queue_entry> take(ticket_id ticket);

    /// Removes an entry that is not to run, e.g. because its caller gave up.
    std::optional<queue_entry> erase(ticket_id ticket);

    /// Adjusts the charge of an entry that was taken out to run, once its
    /// actual service is known.
    void correct(const queue_entry& entry, duration actual_service);

    bool empty() const;
    std::size_t size() const;
    std::size_t size_of(request_class priority) const;
    std::size_t
    size_of(request_class priority, const workspace_id& workspace) const;

    /// Total expected service of the entries waiting in a class.
    duration backlog_of(request_class priority) const;
    duration
    backlog_of(request_class priority, const workspace_id& workspace) const;

    std::optional<request_class> highest_class() const;

    /// Share of the service that a class gets whatever waits in the others.
    double guaranteed_class_share(request_class priority) const;

    /// Share of the service of its class that a workspace gets while the same
    /// workspaces have work waiting.
    double workspace_share(
        request_class priority,
        const workspace_id& workspace,
        double weight) const;

private:
    /// Entries of one workspace, ordered by expected service and time of
    /// arrival. All entries age at the same rate, so their order is constant
    /// while they wait.
    struct workspace_queue
    {
        std::set<std::pair<double, ticket_id>> order;
        duration backlog{};
    };

    struct class_queue
    {
        fair_scheduler<workspace_id> workspace_scheduler;
        absl::flat_hash_map<workspace_id, workspace_queue> workspaces;
        duration backlog{};
        std::size_t size = 0;
    };

    struct waiting_entry
    {
        queue_entry entry;
        double order = 0;
    };

    class_queue& class_of(const queue_entry& entry);
    queue_entry remove(ticket_id ticket);

    options chosen;
    std::array<class_queue, request_class_count> classes;
    fair_scheduler<std::size_t> class_scheduler;
    absl::flat_hash_map<ticket_id, waiting_entry> entries;
};

} // namespace fireflysail
