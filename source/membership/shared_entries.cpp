#include "membership/shared_entries.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <iterator>

namespace fireflysail
{

std::size_t sync_bucket(const std::string& name)
{
    return stable_hash(name) % sync_bucket_count;
}

bool shared_entries::merge(const shared_entry& entry, time_point now)
{
    if (entry.key.empty() || entry.remaining <= duration::zero() ||
        entry.key.size() + entry.value.size() > max_entry_bytes)
    {
        return false;
    }
    const auto found = this->held.find(entry.key);
    if (found != this->held.end() && found->second.version >= entry.version)
    {
        return false;
    }
    this->held[entry.key] = {entry.version, entry.value, now + entry.remaining};
    this->make_room();
    return this->held.contains(entry.key);
}

bool shared_entries::expire(time_point now)
{
    const std::size_t dropped = std::erase_if(
        this->held,
        [&](const auto& named)
        {
            return named.second.end <= now;
        });
    return dropped > 0;
}

std::vector<shared_entry>
shared_entries::in_buckets(const sync_digests& theirs, time_point now) const
{
    sync_digests ours{};
    this->add_to(ours);
    std::vector<shared_entry> listed;
    for (const auto& [key, entry] : this->held)
    {
        if (theirs[sync_bucket(key)] != 0)
        {
            listed.push_back(to_message(key, entry, now));
        }
    }
    return listed;
}

shared_entry shared_entries::get(const std::string& key, time_point now) const
{
    const auto found = this->held.find(key);
    return found == this->held.end() ? shared_entry{}
                                     : to_message(key, found->second, now);
}

std::vector<shared_entry> shared_entries::all(time_point now) const
{
    std::vector<shared_entry> listed;
    std::ranges::transform(
        this->held,
        std::back_inserter(listed),
        [&](const auto& named)
        {
            return to_message(named.first, named.second, now);
        });
    return listed;
}

void shared_entries::add_to(sync_digests& digests) const
{
    for (const auto& [key, entry] : this->held)
    {
        digests[sync_bucket(key)] ^= stable_hash(key, entry.version);
    }
}

shared_entry shared_entries::to_message(
    const std::string& key, const held_entry& entry, time_point now)
{
    return {key, entry.version, entry.value, entry.end - now};
}

void shared_entries::make_room()
{
    if (this->held.size() <= max_entries)
    {
        return;
    }
    const auto first = std::ranges::min_element(
        this->held,
        {},
        [](const auto& named)
        {
            return named.second.end;
        });
    this->held.erase(first);
}

} // namespace fireflysail
