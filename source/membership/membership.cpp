#include "membership/membership.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr sync_digests all_buckets = []
{
    sync_digests all{};
    all.fill(1);
    return all;
}();

sync_digests differing(const sync_digests& a, const sync_digests& b)
{
    sync_digests different{};
    std::ranges::transform(
        a,
        b,
        different.begin(),
        [](std::uint64_t x, std::uint64_t y)
        {
            return std::uint64_t{x != y ? 1U : 0U};
        });
    return different;
}

} // namespace

membership::membership(
    const peer& self, membership_timing timing, std::mt19937_64& random)
    : own_record{self}
    , timing{timing}
    , random{random}
{
    this->own_record.state = peer_state::alive;
}

void membership::add_hints(const std::vector<endpoint>& addresses)
{
    std::ranges::copy_if(
        addresses,
        std::back_inserter(this->hints),
        [&](const endpoint& address)
        {
            return address != this->own_record.address &&
                   std::ranges::find(this->hints, address) == this->hints.end();
        });
}

void membership::update_instance_list(const std::vector<endpoint>& addresses)
{
    this->hints.clear();
    this->add_hints(addresses);
    this->table.confirm(addresses);
}

gossip_reply membership::receive(const gossip_request& request, time_point now)
{
    this->learn(request.updates, request.entries, now);
    this->table.heard(request.sender, now);
    gossip_reply reply;
    reply.sender = this->own_record.id;
    reply.sender_incarnation = this->own_record.life;
    const member* sender = this->table.find(request.sender);
    reply.is_stranger =
        sender == nullptr || sender->record.life < request.sender_incarnation;
    const bool is_for_me =
        request.receiver.empty() || request.receiver == this->own_record.id;
    if (is_for_me)
    {
        this->fill_reply(request, reply, now);
    }
    else
    {
        // The request is meant for an earlier process at this address.
        reply.updates.push_back(this->own_record);
    }
    this->add_updates(request.sender, reply.updates, reply.entries, now);
    reply.digest = this->digest();
    this->compare(request.sender, request.digest, now);
    return reply;
}

void membership::reply_received(
    std::uint64_t token, const gossip_reply& reply, time_point now)
{
    this->learn(reply.updates, reply.entries, now);
    this->table.heard(reply.sender, now);
    this->compare(reply.sender, reply.digest, now);
    const auto found = this->pending.find(token);
    if (found == this->pending.end())
    {
        return;
    }
    const pending_call call = found->second;
    this->pending.erase(found);
    this->settled = true;
    if (!call.target.empty() && call.target != reply.sender)
    {
        if (this->table.replace(call.target, now))
        {
            this->queue_update(call.target);
        }
    }
    if (reply.is_stranger)
    {
        gossip_request introduction =
            this->make_request(gossip_kind::push, reply.sender);
        introduction.updates.push_back(this->own_record);
        this->send(call.to, std::move(introduction), now);
    }
    if (call.kind == gossip_kind::sync)
    {
        this->complete_sync(call.to, reply, now);
    }
    const member* asked_by =
        call.on_behalf_of ? this->table.find(*call.on_behalf_of) : nullptr;
    if (asked_by != nullptr)
    {
        gossip_request result = this->make_request(
            gossip_kind::indirect_result, asked_by->record.id);
        result.subject = reply.sender;
        result.subject_incarnation = reply.sender_incarnation;
        this->send(asked_by->record.address, std::move(result), now);
    }
}

void membership::failed(std::uint64_t token)
{
    this->pending.erase(token);
}

void membership::leave()
{
    this->own_record.state = peer_state::left;
    this->own_record.life = this->own_record.life.next();
    ++this->own_changes;
    this->queue_update(this->own_record.id);
    this->pushes_due = 3;
}

void membership::share(const shared_entry& entry, time_point now)
{
    if (this->shared.merge(entry, now))
    {
        this->new_entry_keys.push_back(entry.key);
        this->entry_updates.add(entry.key);
        this->pushes_due = std::max(this->pushes_due, 1U);
    }
}

std::vector<shared_entry> membership::take_new_entries(time_point now)
{
    std::vector<shared_entry> fresh;
    for (const std::string& key : std::exchange(this->new_entry_keys, {}))
    {
        shared_entry entry = this->shared.get(key, now);
        if (!entry.key.empty())
        {
            fresh.push_back(std::move(entry));
        }
    }
    return fresh;
}

std::vector<shared_entry> membership::entries(time_point now) const
{
    return this->shared.all(now);
}

peers_snapshot membership::snapshot() const
{
    return {this->table.records()};
}

std::uint64_t membership::changes() const
{
    return this->table.changes() + this->own_changes;
}

const peer& membership::self() const
{
    return this->own_record;
}

bool membership::is_settled() const
{
    return this->settled;
}

std::size_t membership::fleet_size() const
{
    return 1 + this->live_count() + this->table.unconfirmed_dead();
}

gossip_request
membership::make_request(gossip_kind kind, const instance_id& receiver)
{
    gossip_request request;
    request.kind = kind;
    request.sender = this->own_record.id;
    request.sender_incarnation = this->own_record.life;
    request.receiver = receiver;
    return request;
}

void membership::send(
    const endpoint& to,
    gossip_request request,
    time_point now,
    std::optional<instance_id> on_behalf_of)
{
    const std::uint64_t token = ++this->last_token;
    this->add_updates(request.receiver, request.updates, request.entries, now);
    request.digest = this->digest();
    this->pending[token] = {
        request.kind, request.receiver, to, now, std::move(on_behalf_of)};
    this->outbox.push_back({token, to, std::move(request)});
}

void membership::add_updates(
    const instance_id& receiver,
    std::vector<peer>& updates,
    std::vector<shared_entry>& entries,
    time_point now)
{
    const member* known = this->table.find(receiver);
    if (known != nullptr && known->record.state != peer_state::alive)
    {
        // Lets the receiver refute the state if it is wrong.
        updates.push_back(known->record);
    }
    const std::size_t fleet = this->live_count() + 1;
    for (const std::string& name :
         this->member_updates.least_sent(this->timing.updates_in_message))
    {
        const member* one = this->table.find(instance_id{name});
        if (one != nullptr)
        {
            updates.push_back(one->record);
        }
        else if (name == this->own_record.id.str())
        {
            updates.push_back(this->own_record);
        }
        this->member_updates.count_sent(name, fleet);
    }
    std::size_t bytes_left = this->timing.entry_bytes_in_message;
    for (const std::string& name :
         this->entry_updates.least_sent(this->timing.updates_in_message))
    {
        this->add_entry(name, bytes_left, entries, now);
    }
}

void membership::add_entry(
    const std::string& name,
    std::size_t& bytes_left,
    std::vector<shared_entry>& entries,
    time_point now)
{
    const shared_entry entry = this->shared.get(name, now);
    const std::size_t bytes = entry.key.size() + entry.value.size();
    if (entry.key.empty())
    {
        this->entry_updates.remove(name);
    }
    else if (bytes <= bytes_left)
    {
        bytes_left -= bytes;
        entries.push_back(entry);
        this->entry_updates.count_sent(name, this->live_count() + 1);
    }
}

void membership::learn(
    const std::vector<peer>& updates,
    const std::vector<shared_entry>& entries,
    time_point now)
{
    for (const peer& record : updates)
    {
        this->learn_record(record, now);
    }
    for (const shared_entry& entry : entries)
    {
        this->share(entry, now);
    }
}

void membership::learn_record(peer record, time_point now)
{
    if (record.id == this->own_record.id)
    {
        this->refute(record);
        return;
    }
    const bool is_predecessor =
        is_live(record.state) && record.address == this->own_record.address;
    if (is_predecessor)
    {
        // An earlier process at this address, which the sender still considers
        // live.
        record.state = peer_state::dead;
    }
    if (this->table.merge(record, now))
    {
        this->queue_update(record.id);
    }
    if (is_predecessor && this->table.find(record.id) != nullptr)
    {
        this->table.find(record.id)->confirmed_gone = true;
    }
}

void membership::refute(const peer& record)
{
    const bool is_wrong = record.state != peer_state::alive &&
                          record.life >= this->own_record.life;
    if (is_wrong && this->own_record.state != peer_state::left)
    {
        this->own_record.life = record.life.next();
        ++this->own_changes;
        this->queue_update(this->own_record.id);
    }
}

void membership::queue_update(const instance_id& id)
{
    this->member_updates.add(id.str());
    this->pushes_due = std::max(this->pushes_due, 1U);
}

void membership::compare(
    const instance_id& other, std::uint64_t digest, time_point now)
{
    if (digest == this->digest())
    {
        this->differs_since.erase(other);
    }
    else
    {
        this->differs_since.try_emplace(other, now);
    }
}

void membership::complete_sync(
    const endpoint& to, const gossip_reply& reply, time_point now)
{
    gossip_request missing =
        this->make_request(gossip_kind::push, reply.sender);
    for (const peer& ours : this->table.in_buckets(all_buckets, now))
    {
        const auto theirs =
            std::ranges::find(reply.updates, ours.id, &peer::id);
        // Records of matching buckets are not in the reply. They are identical
        // on both sides, but here they cannot be distinguished from missing
        // ones.
        const bool is_in_reply_bucket = std::ranges::any_of(
            reply.updates,
            [&](const peer& one)
            {
                return sync_bucket(one.id.str()) == sync_bucket(ours.id.str());
            });
        if (is_in_reply_bucket &&
            (theirs == reply.updates.end() || is_newer(ours, *theirs)))
        {
            missing.updates.push_back(ours);
        }
    }
    for (const shared_entry& ours : this->shared.all(now))
    {
        const auto theirs =
            std::ranges::find(reply.entries, ours.key, &shared_entry::key);
        const bool is_in_reply_bucket = std::ranges::any_of(
            reply.entries,
            [&](const shared_entry& one)
            {
                return sync_bucket(one.key) == sync_bucket(ours.key);
            });
        if (is_in_reply_bucket &&
            (theirs == reply.entries.end() || theirs->version < ours.version))
        {
            missing.entries.push_back(ours);
        }
    }
    if (!missing.updates.empty() || !missing.entries.empty())
    {
        this->send(to, std::move(missing), now);
    }
}

void membership::fill_reply(
    const gossip_request& request, gossip_reply& reply, time_point now)
{
    switch (request.kind)
    {
    case gossip_kind::probe:
    case gossip_kind::push:
        return;
    case gossip_kind::indirect_probe:
        if (const member* subject = this->table.find(request.subject))
        {
            this->send(
                subject->record.address,
                this->make_request(gossip_kind::probe, request.subject),
                now,
                request.sender);
        }
        return;
    case gossip_kind::indirect_result:
        if (const member* subject = this->table.find(request.subject);
            subject != nullptr &&
            request.subject_incarnation >= subject->record.life)
        {
            this->table.heard(request.subject, now);
        }
        return;
    case gossip_kind::join:
    case gossip_kind::sync:
        const sync_digests wanted =
            request.kind == gossip_kind::join
                ? all_buckets
                : differing(request.digests, this->digests());
        reply.updates = this->table.in_buckets(wanted, now);
        reply.entries = this->shared.in_buckets(wanted, now);
        if (wanted[sync_bucket(this->own_record.id.str())] != 0)
        {
            reply.updates.push_back(this->own_record);
        }
        return;
    }
}

sync_digests membership::digests() const
{
    sync_digests all{};
    this->table.add_to(all);
    this->shared.add_to(all);
    if (is_live(this->own_record.state))
    {
        all[sync_bucket(this->own_record.id.str())] ^= stable_hash(
            this->own_record.id.str(), this->own_record.life.value());
    }
    return all;
}

std::uint64_t membership::digest() const
{
    const sync_digests all = this->digests();
    return stable_hash(std::string_view{
        reinterpret_cast<const char*>(all.data()), sizeof(all)});
}

std::size_t membership::live_count() const
{
    return this->table.live_count();
}

} // namespace fireflysail
