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
    /// A gap in the contact with the store this long lets entries lapse that
    /// their servers could not renew.
    duration outage_threshold = std::chrono::milliseconds{2500};
    /// Servers whose entries lapsed have them back this long after the store
    /// has returned.
    duration grace_period = std::chrono::milliseconds{1900};
};

/// The backend servers that the store lists. An entry that vanished while the
/// store was away is kept until its server had the time to write it again: the
/// loss of the store must not look like the loss of all servers.
class server_directory
{
public:
    explicit server_directory(server_directory_options options = {});

    /// The store answered, whatever it said.
    void on_store_response(time_point now);

    /// Every entry there is.
    void replace_all(std::vector<server_entry> entries, time_point now);

    void put(server_entry entry);
    void remove(const server_id& id, time_point now);

    /// Replaces what a listed engine holds; true when that changed anything.
    bool update_engine_state(
        const server_id& id,
        const std::vector<held_layers>& layers,
        std::uint64_t started_at_ms);

    /// Drops kept entries whose time is up; true when there were any.
    bool expire(time_point now);

    /// When expire() has something to do; none while nothing is kept.
    std::optional<time_point> next_expiry() const;

    std::vector<server_entry> entries() const;

private:
    struct tracked_entry
    {
        server_entry entry;
        /// Set while the entry is kept although the store lacks it.
        std::optional<time_point> removal_due;
    };

    void schedule_removal(tracked_entry& server, time_point now);
    bool is_in_grace_period(time_point now) const;

    server_directory_options options;
    std::map<server_id, tracked_entry> servers;
    std::optional<time_point> last_response;
    std::optional<time_point> reconnected_at;
};

} // namespace fireflysail
