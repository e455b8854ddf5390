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

/// Position of a class in per-class tables; the highest class is 0.
constexpr std::size_t index_of(request_class priority)
{
    return static_cast<std::size_t>(priority);
}

/// Work that waits for slots. Classes share by weights so far apart that a
/// higher class goes first, yet no class starves; workspaces within a class
/// share by plan weight; within a workspace the shortest expected goes first,
/// with ageing. Each operation is O(log n).
class fair_queue
{
public:
    struct options
    {
        /// Weights of the classes, highest class first.
        std::array<double, request_class_count> class_weights{64, 8, 1};
        /// Expected service forgiven for each second waited.
        double ageing = 1.0;
    };

    explicit fair_queue(const options& chosen);

    void push(const queue_entry& entry, time_point now);

    /// Takes out the entry that is next to run.
    std::optional<queue_entry> pop();

    /// Takes out the entry named, which is to run out of turn.
    std::optional<queue_entry> take(ticket_id ticket);

    /// Takes out one entry that is not to run, e.g. when its caller gave up.
    std::optional<queue_entry> erase(ticket_id ticket);

    /// Tells the true service of an entry that was popped with another one.
    void correct(const queue_entry& entry, duration actual_service);

    bool empty() const;
    std::size_t size() const;
    std::size_t size_of(request_class priority) const;
    std::size_t
    size_of(request_class priority, const workspace_id& workspace) const;

    /// Expected service of all that waits in one class.
    duration backlog_of(request_class priority) const;
    duration
    backlog_of(request_class priority, const workspace_id& workspace) const;

    std::optional<request_class> highest_class() const;

    /// Part of the service that a class gets whatever waits in the others.
    double guaranteed_class_share(request_class priority) const;

    /// Least part of its class's service that a workspace gets.
    double workspace_share(
        request_class priority,
        const workspace_id& workspace,
        double weight) const;

private:
    /// Entries of one workspace, by expected service and time of arrival: as
    /// all entries age alike, their order never changes while they wait.
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
