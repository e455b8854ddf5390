#pragma once

#include "membership/membership_messages.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fireflysail
{

/// Index of the digest bucket that a member or key belongs to.
std::size_t sync_bucket(const std::string& name);

/// Shared entries, bounded in number and size.
class shared_entries
{
public:
    static constexpr std::size_t max_entries = 256;
    static constexpr std::size_t max_entry_bytes = 512;

    /// Returns true if the entry was stored. An entry that is too long, not
    /// newer than the stored version or expired is ignored. If the set is full,
    /// the entry that expires first is removed.
    bool merge(const shared_entry& entry, time_point now);

    /// Removes expired entries. Returns true if there were any.
    bool expire(time_point now);

    std::vector<shared_entry>
    in_buckets(const sync_digests& theirs, time_point now) const;

    /// The entry as sent in messages. Its key is empty if there is none.
    shared_entry get(const std::string& key, time_point now) const;

    std::vector<shared_entry> all(time_point now) const;

    void add_to(sync_digests& digests) const;

private:
    struct held_entry
    {
        std::uint64_t version = 0;
        std::string value;
        time_point end{};
    };

    static shared_entry
    to_message(const std::string& key, const held_entry& entry, time_point now);
    void make_room();

    std::map<std::string, held_entry> held;
};

} // namespace fireflysail
