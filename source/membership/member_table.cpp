#include "membership/member_table.hpp"

#include "common/hash.hpp"
#include "membership/shared_entries.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace fireflysail
{

namespace
{

constexpr duration propagation_time = std::chrono::minutes{1};

template <class Predicate>
std::vector<peer>
records_if(const member_table::container& members, Predicate&& wanted)
{
    std::vector<peer> chosen;
    for (const member& one : members | std::views::values)
    {
        if (wanted(one.record))
        {
            chosen.push_back(one.record);
        }
    }
    return chosen;
}

} // namespace

bool is_live(peer_state state)
{
    return state == peer_state::alive || state == peer_state::suspect;
}

bool is_newer(const peer& next, const peer& known)
{
    return std::tuple{next.life, static_cast<int>(next.state)} >
           std::tuple{known.life, static_cast<int>(known.state)};
}

bool member_table::merge(const peer& record, time_point now)
{
    const auto found = this->members.find(record.id);
    if (found == this->members.end())
    {
        for (auto& [id, one] : this->members)
        {
            const bool same_place = one.record.address == record.address &&
                                    is_live(one.record.state);
            if (same_place && is_live(record.state) &&
                one.record.life < record.life)
            {
                this->replace(id, now);
            }
        }
        this->members[record.id] = {record, now, now, false};
        ++this->change_count;
        return true;
    }
    member& known = found->second;
    if (!is_newer(record, known.record))
    {
        return false;
    }
    const bool was_live = is_live(known.record.state);
    if (known.record.state != record.state)
    {
        known.state_since = now;
        known.confirmed_gone = false;
    }
    known.record = record;
    if (!was_live && is_live(record.state))
    {
        known.heard_at = now;
    }
    ++this->change_count;
    return true;
}

bool member_table::replace(const instance_id& old, time_point now)
{
    member* known = this->find(old);
    if (known == nullptr || !is_live(known->record.state))
    {
        return false;
    }
    this->set_state(old, peer_state::dead, now);
    // Another process has its address, so it no longer runs.
    known->confirmed_gone = true;
    return true;
}

void member_table::set_state(
    const instance_id& id, peer_state state, time_point now)
{
    member* known = this->find(id);
    if (known != nullptr && known->record.state != state)
    {
        known->record.state = state;
        known->state_since = now;
        ++this->change_count;
    }
}

void member_table::heard(const instance_id& id, time_point now)
{
    member* known = this->find(id);
    if (known != nullptr)
    {
        known->heard_at = std::max(known->heard_at, now);
    }
}

void member_table::mark_all_heard(time_point now)
{
    for (member& one : this->members | std::views::values)
    {
        one.heard_at = now;
        if (one.record.state == peer_state::suspect)
        {
            one.state_since = now;
        }
    }
}

member* member_table::find(const instance_id& id)
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

const member* member_table::find(const instance_id& id) const
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

bool member_table::knows_address(const endpoint& address) const
{
    return std::ranges::any_of(
        this->members | std::views::values,
        [&](const member& one)
        {
            return one.record.address == address && is_live(one.record.state);
        });
}

std::vector<peer> member_table::live() const
{
    return records_if(
        this->members,
        [](const peer& one)
        {
            return is_live(one.state);
        });
}

std::size_t member_table::live_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->members | std::views::values,
        [](const member& one)
        {
            return is_live(one.record.state);
        }));
}

std::vector<peer> member_table::records() const
{
    return records_if(
        this->members,
        [](const peer&)
        {
            return true;
        });
}

std::vector<peer> member_table::in_state(peer_state state) const
{
    return records_if(
        this->members,
        [&](const peer& one)
        {
            return one.state == state;
        });
}

std::vector<peer>
member_table::in_buckets(const sync_digests& differing, time_point now) const
{
    std::vector<peer> chosen;
    for (const auto& [id, one] : this->members)
    {
        const bool is_propagated = is_live(one.record.state) ||
                                   now < one.state_since + propagation_time;
        if (is_propagated && differing[sync_bucket(id.str())] != 0)
        {
            chosen.push_back(one.record);
        }
    }
    return chosen;
}

void member_table::confirm(const std::vector<endpoint>& listed)
{
    for (member& one : this->members | std::views::values)
    {
        if (one.record.state == peer_state::dead &&
            std::ranges::find(listed, one.record.address) == listed.end() &&
            !one.confirmed_gone)
        {
            one.confirmed_gone = true;
            ++this->change_count;
        }
    }
}

std::size_t member_table::unconfirmed_dead() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->members | std::views::values,
        [&](const member& one)
        {
            // A peer whose address is used by another process no longer runs.
            return one.record.state == peer_state::dead &&
                   !one.confirmed_gone &&
                   !this->knows_address(one.record.address);
        }));
}

void member_table::forget(
    duration dead_memory, duration left_memory, time_point now)
{
    const std::size_t dropped = std::erase_if(
        this->members,
        [&](const auto& named)
        {
            const member& one = named.second;
            const duration age = now - one.state_since;
            return (one.record.state == peer_state::dead &&
                    age >= dead_memory) ||
                   (one.record.state == peer_state::left && age >= left_memory);
        });
    this->change_count += dropped;
}

void member_table::add_to(sync_digests& digests) const
{
    for (const auto& [id, one] : this->members)
    {
        if (is_live(one.record.state))
        {
            digests[sync_bucket(id.str())] ^=
                stable_hash(id.str(), one.record.life.value());
        }
    }
}

std::uint64_t member_table::changes() const
{
    return this->change_count;
}

} // namespace fireflysail
