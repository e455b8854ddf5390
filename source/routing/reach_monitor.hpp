#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>

namespace fireflysail
{

/// Decides whether this instance is cut off from all backend servers. Failures
/// at two of them raise a suspicion, which rounds of connections to servers
/// chosen at random settle: one that is accepted disproves it, as a fault of
/// some servers leaves others that answer.
///
/// Handles instances whose links to the backend servers are cut while callers,
/// the store and the other instances still reach them. Requests are sent to
/// another instance meanwhile, and what this one cannot reach is not reported
/// as lost.
class reach_monitor
{
public:
    struct options
    {
        /// Servers at which connections or runs must have failed.
        std::size_t servers_to_suspect = 2;
        /// Failures are counted together within this time.
        duration failure_window = std::chrono::seconds{2};
        /// From the start of a round to that of the next one.
        duration round_interval = std::chrono::milliseconds{300};
        /// From the last round to a new suspicion: each costs connections, also
        /// where servers are only slow.
        duration suspicion_pause = std::chrono::seconds{1};
        /// Rounds in a row that change the state.
        int rounds_to_change = 2;
    };

    enum class reach
    {
        /// Nothing speaks against the links.
        sound,
        /// Servers failed; a round is to tell whether all do.
        suspected,
        /// No server can be reached.
        cut_off,
    };

    explicit reach_monitor(const options& chosen);

    /// A connection to the server, a run on it or a probe of it failed.
    void on_failure(const server_id& server, time_point now);

    /// A server accepted a connection that a request needed.
    void on_contact();

    /// When the next round is to begin; the rounds go on for as long as the
    /// state is not `sound`.
    time_point next_round() const;

    void on_round_begun(time_point now);

    struct round_outcome
    {
        /// Distinct servers that were asked.
        std::size_t asked = 0;
        bool any_accepted = false;
    };

    void on_round(const round_outcome& outcome);

    reach state() const;

private:
    const options chosen;
    reach current = reach::sound;
    /// Latest failure of each server.
    absl::flat_hash_map<server_id, time_point> failures;
    /// Rounds in a row that speak for a change of the state.
    int rounds = 0;
    time_point last_round{};
};

} // namespace fireflysail
