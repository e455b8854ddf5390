#include "membership/membership.hpp"
#include "membership/neighbours.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflysail
{

std::vector<outgoing_gossip> membership::tick(time_point now)
{
    if (!this->started_at)
    {
        this->started_at = now;
    }
    if (this->last_tick && now - *this->last_tick > this->timing.pause)
    {
        this->resume_after_pause(now);
    }
    this->last_tick = now;
    this->expire_calls(now);
    this->table.forget(this->timing.dead_memory, this->timing.left_memory, now);
    this->shared.expire(now);
    this->refresh_neighbours(now);
    if (is_live(this->own_record.state))
    {
        this->send_join_requests(now);
        this->recontact_lost_peers(now);
        this->watch_neighbours(now);
        this->expire_suspects(now);
        this->sync_differing(now);
    }
    this->push_updates(now);
    return std::exchange(this->outbox, {});
}

void membership::resume_after_pause(time_point now)
{
    this->table.mark_all_heard(now);
    this->pending.clear();
    for (auto& [id, watch] : this->watches)
    {
        // Each neighbour is probed at once, as it may have declared this
        // instance dead.
        watch = {this->random_jitter() - this->timing.probe_interval, 0, now};
    }
}

void membership::expire_calls(time_point now)
{
    std::erase_if(
        this->pending,
        [&](const auto& call)
        {
            return now >= call.second.sent_at + this->timing.reply_timeout;
        });
}

void membership::refresh_neighbours(time_point now)
{
    if (this->watched_changes == this->table.changes() + 1)
    {
        return;
    }
    this->watched_changes = this->table.changes() + 1;
    std::vector<instance_id> chosen =
        neighbours_of(this->own_record, this->table.live());
    this->watch_zones_with_suspects(chosen, now);
    std::erase_if(
        this->watches,
        [&](const auto& watch)
        {
            return std::ranges::find(chosen, watch.first) == chosen.end();
        });
    for (const instance_id& id : chosen)
    {
        if (this->watches.try_emplace(id).second)
        {
            // The neighbour is probed at once, but not suspected for inactivity
            // before now.
            this->watches[id].jitter = this->random_jitter();
            this->table.heard(id, now - this->timing.probe_interval);
        }
    }
    std::erase_if(
        this->differs_since,
        [&](const auto& entry)
        {
            const member* other = this->table.find(entry.first);
            return other == nullptr || !is_live(other->record.state);
        });
}

void membership::watch_zones_with_suspects(
    std::vector<instance_id>& chosen, time_point now)
{
    std::map<zone_id, std::size_t> suspects;
    for (const peer& one : this->table.in_state(peer_state::suspect))
    {
        ++suspects[one.zone];
    }
    for (const auto& [zone, count] : suspects)
    {
        if (count < this->timing.zone_suspects)
        {
            continue;
        }
        std::vector<peer> unwatched;
        std::size_t watched = 0;
        for (const peer& one : this->table.in_state(peer_state::alive))
        {
            if (one.zone != zone)
            {
                continue;
            }
            if (this->watches.contains(one.id))
            {
                ++watched;
                chosen.push_back(one.id);
            }
            else
            {
                unwatched.push_back(one);
            }
        }
        const std::size_t more = this->timing.zone_watches -
                                 std::min(watched, this->timing.zone_watches);
        for (const peer& one : this->random_sample(std::move(unwatched), more))
        {
            chosen.push_back(one.id);
            this->watches[one.id].jitter = this->random_jitter();
            // Two rounds without an answer are enough to suspect the peer.
            this->table.heard(
                one.id,
                now - this->timing.suspect_after +
                    2 * this->timing.reply_timeout);
        }
    }
}

void membership::send_join_requests(time_point now)
{
    if (this->settled || now < this->next_join)
    {
        return;
    }
    this->settled = now >= *this->started_at + this->timing.join_timeout;
    this->next_join = now + this->timing.join_interval;
    std::vector<endpoint> chosen;
    std::ranges::sample(
        this->hints, std::back_inserter(chosen), 2, this->random);
    for (const endpoint& address : chosen)
    {
        gossip_request request =
            this->make_request(gossip_kind::join, instance_id{});
        request.updates.push_back(this->own_record);
        this->send(address, std::move(request), now);
    }
}

void membership::recontact_lost_peers(time_point now)
{
    if (!this->settled || now < this->next_recontact)
    {
        return;
    }
    this->next_recontact =
        now + this->timing.recontact_interval + this->random_jitter();
    for (const peer& lost :
         this->random_sample(this->table.in_state(peer_state::dead), 1))
    {
        this->send(
            lost.address, this->make_request(gossip_kind::probe, lost.id), now);
    }
    std::vector<endpoint> unknown;
    std::ranges::copy_if(
        this->hints,
        std::back_inserter(unknown),
        [&](const endpoint& address)
        {
            return !this->table.knows_address(address);
        });
    std::vector<endpoint> chosen;
    std::ranges::sample(unknown, std::back_inserter(chosen), 1, this->random);
    for (const endpoint& address : chosen)
    {
        gossip_request request =
            this->make_request(gossip_kind::join, instance_id{});
        request.updates.push_back(this->own_record);
        this->send(address, std::move(request), now);
    }
}

void membership::watch_neighbours(time_point now)
{
    for (auto& [id, watch] : this->watches)
    {
        const member* target = this->table.find(id);
        const duration silent = now - target->heard_at;
        if (silent < this->timing.probe_interval + watch.jitter)
        {
            watch.rounds = 0;
            watch.next_round = now;
            continue;
        }
        if (now < watch.next_round)
        {
            continue;
        }
        if (silent >= this->timing.suspect_after && watch.rounds >= 2 &&
            target->record.state == peer_state::alive)
        {
            this->suspect(id, now);
        }
        this->probe_round(*target, watch, now);
    }
}

void membership::probe_round(
    const member& target, neighbour_watch& watch, time_point now)
{
    const instance_id id = target.record.id;
    this->send(
        target.record.address, this->make_request(gossip_kind::probe, id), now);
    if (watch.rounds > 0)
    {
        std::vector<peer> others = this->table.in_state(peer_state::alive);
        std::erase_if(
            others,
            [&](const peer& one)
            {
                return one.id == id;
            });
        for (const peer& other : this->random_sample(
                 std::move(others), this->timing.indirect_probes))
        {
            gossip_request request =
                this->make_request(gossip_kind::indirect_probe, other.id);
            request.subject = id;
            this->send(other.address, std::move(request), now);
        }
    }
    ++watch.rounds;
    watch.next_round = now + this->timing.reply_timeout;
    watch.jitter = this->random_jitter();
}

void membership::suspect(const instance_id& id, time_point now)
{
    this->table.set_state(id, peer_state::suspect, now);
    this->queue_update(id);
}

void membership::expire_suspects(time_point now)
{
    for (const peer& one : this->table.in_state(peer_state::suspect))
    {
        const member* known = this->table.find(one.id);
        if (now >= known->state_since + this->timing.suspicion)
        {
            this->table.set_state(one.id, peer_state::dead, now);
            this->queue_update(one.id);
        }
    }
}

void membership::sync_differing(time_point now)
{
    if (now < this->next_sync)
    {
        return;
    }
    const auto found = std::ranges::find_if(
        this->differs_since,
        [&](const auto& entry)
        {
            return now >= entry.second + this->timing.difference_timeout;
        });
    if (found == this->differs_since.end())
    {
        return;
    }
    const member* other = this->table.find(found->first);
    if (other != nullptr)
    {
        gossip_request request =
            this->make_request(gossip_kind::sync, found->first);
        request.digests = this->digests();
        this->send(other->record.address, std::move(request), now);
        this->next_sync =
            now + this->timing.sync_interval + this->random_jitter();
    }
    this->differs_since.erase(found);
}

void membership::push_updates(time_point now)
{
    if (this->pushes_due == 0 || now < this->next_push)
    {
        return;
    }
    --this->pushes_due;
    this->next_push = now + this->timing.push_interval;
    for (const peer& target : this->push_targets())
    {
        this->send(
            target.address,
            this->make_request(gossip_kind::push, target.id),
            now);
    }
}

std::vector<peer> membership::push_targets()
{
    std::vector<peer> near;
    std::vector<peer> far;
    std::ranges::partition_copy(
        this->table.live(),
        std::back_inserter(near),
        std::back_inserter(far),
        [&](const peer& one)
        {
            return one.zone == this->own_record.zone;
        });
    // One target is in another zone, so that updates reach the other zones
    // without delay.
    std::vector<peer> targets = this->random_sample(
        std::move(far), near.empty() ? this->timing.push_fanout : 1);
    const std::vector<peer> from_zone = this->random_sample(
        std::move(near), this->timing.push_fanout - targets.size());
    targets.insert(targets.end(), from_zone.begin(), from_zone.end());
    // A suspect is informed first, so that it can refute the suspicion.
    const std::vector<peer> suspects =
        this->random_sample(this->table.in_state(peer_state::suspect), 1);
    targets.insert(targets.end(), suspects.begin(), suspects.end());
    return targets;
}

std::vector<peer>
membership::random_sample(std::vector<peer> from, std::size_t count)
{
    std::vector<peer> chosen;
    std::ranges::sample(
        from,
        std::back_inserter(chosen),
        static_cast<std::ptrdiff_t>(count),
        this->random);
    return chosen;
}

duration membership::random_jitter()
{
    std::uniform_int_distribution<duration::rep> jitter{
        0, this->timing.probe_jitter.count()};
    return duration{jitter(this->random)};
}

} // namespace fireflysail
