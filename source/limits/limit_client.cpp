#include "limits/limit_client.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fireflysail
{

limit_client::limit_client(const instance_id& self, limit_timing timing)
    : self{self}
    , timing{timing}
{
    const std::lock_guard lock{this->control};
    this->view.self = self;
    this->view.live = {self};
}

limit_outcome limit_client::try_acquire(
    const workspace_id& workspace,
    token_count cost,
    time_point now,
    attempt_kind attempt)
{
    shard& home = this->shard_of(workspace);
    const std::lock_guard lock{home.mutex};
    entry& found =
        home.entries
            .try_emplace(
                workspace, client_workspace{this->timing}, instance_id{})
            .first->second;
    return found.state.try_acquire(cost, attempt, now);
}

void limit_client::finish(const workspace_id& workspace, time_point now)
{
    shard& home = this->shard_of(workspace);
    const std::lock_guard lock{home.mutex};
    const auto found = home.entries.find(workspace);
    if (found != home.entries.end())
    {
        found->second.state.finish(now);
    }
}

void limit_client::give_back(
    const workspace_id& workspace, token_count unused, time_point now)
{
    shard& home = this->shard_of(workspace);
    const std::lock_guard lock{home.mutex};
    const auto found = home.entries.find(workspace);
    if (found != home.entries.end())
    {
        found->second.state.give_back(unused, now);
    }
}

std::uint32_t limit_client::running(const workspace_id& workspace) const
{
    const shard& home = this->shard_of(workspace);
    const std::lock_guard lock{home.mutex};
    const auto found = home.entries.find(workspace);
    return found == home.entries.end() ? 0
                                       : found->second.state.running_requests();
}

void limit_client::update_view(const limits_view& next)
{
    const std::lock_guard lock{this->control};
    if (next == this->view)
    {
        return;
    }
    this->view = next;
    for (shard& one : this->shards)
    {
        const std::lock_guard shard_lock{one.mutex};
        for (auto& [name, found] : one.entries)
        {
            const instance_id& owner = owner_of(name, next.live);
            if (owner != found.owner)
            {
                found.owner = owner;
                found.state.owner_changed();
            }
        }
    }
    absl::erase_if(
        this->links,
        [&](const auto& link)
        {
            return std::ranges::find(next.live, link.first) == next.live.end();
        });
}

std::vector<outgoing_demand> limit_client::tick(time_point now)
{
    const std::lock_guard lock{this->control};
    std::set<instance_id> due;
    for (shard& one : this->shards)
    {
        const std::lock_guard shard_lock{one.mutex};
        absl::erase_if(
            one.entries,
            [&](const auto& named)
            {
                return named.second.state.is_idle(now);
            });
        for (auto& [name, found] : one.entries)
        {
            if (found.owner.empty())
            {
                found.owner = owner_of(name, this->view.live);
            }
            if (found.state.is_due(now) && this->is_ready(found.owner, now))
            {
                due.insert(found.owner);
            }
        }
    }
    std::vector<outgoing_demand> messages;
    for (const instance_id& owner : due)
    {
        owner_link& link = this->links[owner];
        link.in_flight = now;
        link.asked.clear();
        link.sequence = ++this->last_sequence;
        messages.push_back(
            {owner, {this->self, link.sequence, link.last_reply, {}}});
    }
    for (shard& one : this->shards)
    {
        const std::lock_guard shard_lock{one.mutex};
        for (auto& [name, found] : one.entries)
        {
            const auto message =
                std::ranges::find(messages, found.owner, &outgoing_demand::to);
            if (message != messages.end() &&
                (found.state.is_due(now) || found.state.should_include(now)))
            {
                message->message.demands.push_back(
                    found.state.report(name, now));
                this->links[found.owner].asked.push_back(name);
            }
        }
    }
    for (outgoing_demand& one : messages)
    {
        std::ranges::sort(
            one.message.demands, {}, &workspace_demand::workspace);
    }
    return messages;
}

void limit_client::receive(const lease_message& reply, time_point now)
{
    const std::lock_guard lock{this->control};
    const auto link = this->links.find(reply.owner);
    if (link == this->links.end() || !link->second.in_flight ||
        reply.sequence != link->second.sequence || reply.leases.empty())
    {
        return;
    }
    const time_point sent_at = *link->second.in_flight;
    link->second.in_flight.reset();
    link->second.last_reply = reply.sequence;
    for (const workspace_lease& lease : reply.leases)
    {
        shard& home = this->shard_of(lease.workspace);
        const std::lock_guard shard_lock{home.mutex};
        const auto found = home.entries.find(lease.workspace);
        const bool was_asked =
            std::ranges::find(link->second.asked, lease.workspace) !=
            link->second.asked.end();
        if (found != home.entries.end() && was_asked &&
            found->second.owner == reply.owner)
        {
            found->second.state.apply(lease, sent_at, now);
        }
    }
}

limit_client::shard& limit_client::shard_of(const workspace_id& workspace)
{
    return this->shards[stable_hash(workspace.str()) % shard_count];
}

const limit_client::shard&
limit_client::shard_of(const workspace_id& workspace) const
{
    return this->shards[stable_hash(workspace.str()) % shard_count];
}

bool limit_client::is_ready(const instance_id& owner, time_point now) const
{
    const auto link = this->links.find(owner);
    return link == this->links.end() || !link->second.in_flight ||
           now >= *link->second.in_flight + this->timing.reply_timeout;
}

} // namespace fireflysail
