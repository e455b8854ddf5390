#pragma once

#include "blackboard/server_entry.hpp"
#include "common/clock.hpp"

#include <map>
#include <optional>
#include <vector>

namespace fireflysail
{

struct server_directory_options
{
    /// A gap of this length between responses of the store is treated as an
    /// outage in which entries expired because their servers could not renew
    /// them.
    duration outage_threshold = std::chrono::milliseconds{2500};
    /// Time that servers need to write their expired entries again once the
    /// store responds.
    duration grace_period = std::chrono::milliseconds{1900};
    /// An entry that was removed is remembered for this long: at least the age
    /// of the copies that the store is restored from.
    duration removal_memory = std::chrono::seconds{60};
    /// Time in which a removal that the store lost is made again.
    duration reappearance_delay = std::chrono::seconds{30};
};

/// Directory of the backend servers listed in the store. An entry that
/// disappears in an outage of the store is kept until its server has had time
/// to write it again, so that the loss of the store does not look like the loss
/// of all servers. An entry that was removed and comes back with an older copy
/// of the store is not used until it is written again or time has passed.
class server_directory
{
public:
    explicit server_directory(server_directory_options options = {});

    /// Records that the store responded, whatever the response.
    void on_store_response(time_point now);

    /// The store came back from an older copy, which may lack entries: their
    /// servers get the time to write them again, as after an outage.
    void on_store_restored(time_point now);

    /// Replaces the directory by a complete listing of the store.
    void replace_all(std::vector<server_entry> entries, time_point now);

    /// The entry was written.
    void put(server_entry entry);
    void remove(const server_id& id, time_point now);

    /// Updates the layers and the start time of a listed engine. Returns true
    /// if either changed.
    bool update_engine_state(
        const server_id& id,
        const std::vector<held_layers>& layers,
        std::uint64_t started_at_ms);

    /// Removes the entries whose removal is due, and uses those that came back
    /// with the store and are still listed. Returns true if there were any.
    bool expire(time_point now);

    /// Returns the next time at which expire() will remove or use an entry.
    std::optional<time_point> next_expiry() const;

    std::vector<server_entry> entries() const;

private:
    struct tracked_entry
    {
        server_entry entry;
        /// Set while the entry is kept although it is absent from the store.
        std::optional<time_point> removal_due;
        /// Set while the entry is not used although it is listed.
        std::optional<time_point> used_from;
    };

    struct removed_entry
    {
        std::uint64_t started_at_ms = 0;
        time_point at;
    };

    bool has_later_boot(const server_entry& entry) const;
    /// When to use an entry of a list; none for at once.
    std::optional<time_point>
    use_time(const server_entry& entry, time_point now) const;
    void schedule_removal(tracked_entry& server, time_point now);
    bool is_in_grace_period(time_point now) const;

    server_directory_options options;
    std::map<server_id, tracked_entry> servers;
    std::map<server_id, removed_entry> removed;
    /// The next list is the first of the restored store.
    bool is_restored = false;
    std::optional<time_point> last_response;
    std::optional<time_point> reconnected_at;
};

} // namespace fireflysail
