#include "routing/fair_queue.hpp"

#include "common/invariant.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace fireflysail
{

namespace
{

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

fair_queue::fair_queue(const options& chosen)
    : chosen{chosen}
{
}

fair_queue::class_queue& fair_queue::class_of(const queue_entry& entry)
{
    return this->classes[index_of(entry.priority)];
}

void fair_queue::push(const queue_entry& entry, time_point now)
{
    const double order = seconds(entry.expected) +
                         this->chosen.ageing * seconds(now.time_since_epoch());
    const bool inserted =
        this->entries.emplace(entry.ticket, waiting_entry{entry, order}).second;
    ensure(inserted, "a ticket must not wait twice");

    const std::size_t index = index_of(entry.priority);
    class_queue& in_class = this->classes[index];
    workspace_queue& in_workspace = in_class.workspaces[entry.workspace];
    in_workspace.order.emplace(order, entry.ticket);
    in_workspace.backlog += entry.expected;
    in_class.backlog += entry.expected;
    ++in_class.size;
    in_class.workspace_scheduler.activate(entry.workspace, entry.weight);
    this->class_scheduler.activate(index, this->chosen.class_weights[index]);
}

std::optional<queue_entry> fair_queue::pop()
{
    const auto index = this->class_scheduler.next();
    if (!index)
    {
        return std::nullopt;
    }
    class_queue& in_class = this->classes[*index];
    const auto workspace = in_class.workspace_scheduler.next();
    ensure(
        workspace.has_value(), "an active class must have an active workspace");
    const workspace_queue& queue = in_class.workspaces.at(*workspace);
    const ticket_id ticket = queue.order.begin()->second;
    return this->take(ticket);
}

std::optional<queue_entry> fair_queue::take(ticket_id ticket)
{
    const auto found = this->entries.find(ticket);
    if (found == this->entries.end())
    {
        return std::nullopt;
    }
    const queue_entry& entry = found->second.entry;
    const double cost = seconds(entry.expected);
    this->class_scheduler.charge(index_of(entry.priority), cost);
    this->class_of(entry).workspace_scheduler.charge(entry.workspace, cost);
    return this->remove(ticket);
}

std::optional<queue_entry> fair_queue::erase(ticket_id ticket)
{
    if (!this->entries.contains(ticket))
    {
        return std::nullopt;
    }
    return this->remove(ticket);
}

queue_entry fair_queue::remove(ticket_id ticket)
{
    const auto found = this->entries.find(ticket);
    const queue_entry entry = found->second.entry;
    class_queue& in_class = this->class_of(entry);
    const auto queue = in_class.workspaces.find(entry.workspace);
    queue->second.order.erase({found->second.order, ticket});
    queue->second.backlog -= entry.expected;
    in_class.backlog -= entry.expected;
    --in_class.size;
    this->entries.erase(found);
    if (queue->second.order.empty())
    {
        in_class.workspaces.erase(queue);
        in_class.workspace_scheduler.deactivate(entry.workspace);
    }
    if (in_class.size == 0)
    {
        this->class_scheduler.deactivate(index_of(entry.priority));
    }
    return entry;
}

void fair_queue::correct(const queue_entry& entry, duration actual_service)
{
    const double difference = seconds(actual_service - entry.expected);
    this->class_of(entry).workspace_scheduler.correct(
        entry.workspace, difference);
    this->class_scheduler.correct(index_of(entry.priority), difference);
}

bool fair_queue::empty() const
{
    return this->entries.empty();
}

std::size_t fair_queue::size() const
{
    return this->entries.size();
}

std::size_t fair_queue::size_of(request_class priority) const
{
    return this->classes[index_of(priority)].size;
}

std::size_t
fair_queue::size_of(request_class priority, const workspace_id& workspace) const
{
    const class_queue& in_class = this->classes[index_of(priority)];
    const auto found = in_class.workspaces.find(workspace);
    return found == in_class.workspaces.end() ? 0 : found->second.order.size();
}

duration fair_queue::backlog_of(request_class priority) const
{
    return this->classes[index_of(priority)].backlog;
}

duration fair_queue::backlog_of(
    request_class priority, const workspace_id& workspace) const
{
    const class_queue& in_class = this->classes[index_of(priority)];
    const auto found = in_class.workspaces.find(workspace);
    return found == in_class.workspaces.end() ? duration::zero()
                                              : found->second.backlog;
}

std::optional<request_class> fair_queue::highest_class() const
{
    const auto found = std::ranges::find_if(
        this->classes,
        [](const class_queue& in_class)
        {
            return in_class.size > 0;
        });
    if (found == this->classes.end())
    {
        return std::nullopt;
    }
    return static_cast<request_class>(found - this->classes.begin());
}

double fair_queue::guaranteed_class_share(request_class priority) const
{
    const auto& weights = this->chosen.class_weights;
    return weights[index_of(priority)] /
           std::accumulate(weights.begin(), weights.end(), 0.0);
}

double fair_queue::workspace_share(
    request_class priority, const workspace_id& workspace, double weight) const
{
    return this->classes[index_of(priority)].workspace_scheduler.share_of(
        workspace, weight);
}

} // namespace fireflysail
