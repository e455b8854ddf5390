#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace fireflysail
{

/// Requests a second that a server takes from all instances together.
struct server_limit
{
    server_id server;
    /// Nothing once the server names no limit.
    std::optional<double> limit;
    /// Time since an answer told so; relative, because instances do not share a
    /// clock.
    duration age{};

    bool operator==(const server_limit&) const = default;
};

/// Asks to send one request to a server with a limit.
struct grant_request
{
    /// Of this request; the reply bears it.
    std::uint64_t number = 0;
    server_limit known;

    bool operator==(const grant_request&) const = default;
};

struct rate_grant
{
    bool granted = false;
    /// If not granted: time until the server takes another request.
    duration wait{};

    bool operator==(const rate_grant&) const = default;
};

struct grant_reply
{
    std::uint64_t number = 0;
    rate_grant grant;

    bool operator==(const grant_reply&) const = default;
};

enum class owner_state
{
    available,
    /// It stops, and grants only while no other instance is available.
    leaving,
    /// It did not respond.
    silent,
};

/// Whether an instance grants requests; told to all at once, so that they do
/// not ask different owners.
struct owner_presence
{
    instance_id instance;
    owner_state state = owner_state::available;
    /// How long that holds, unless it is available.
    duration pause{};

    bool operator==(const owner_presence&) const = default;
};

/// What instances send one another about servers with limits.
using limit_message =
    std::variant<server_limit, grant_request, grant_reply, owner_presence>;

/// Limits of requests that servers named, for all instances together. For each
/// server one instance, its owner by rendezvous hash, grants the requests of
/// all others; an instance that does not respond is passed over. Not
/// thread-safe.
///
/// Handles servers that name a limit under load that differs between instances
/// and moves between them, in fleets with fewer and with many more instances
/// than a server takes requests a second.
class server_rate_limits
{
public:
    struct options
    {
        /// A limit that nobody confirmed for this long has ended.
        duration lifetime = std::chrono::seconds{10};
        /// A limit ends when an answer does not name it, unless another one
        /// named it within this time: answers overtake one another.
        duration end_delay = std::chrono::milliseconds{500};
        /// Requests that may be sent at once after a pause: these, and those of
        /// this time at the limit. Requests come at random, and what a server
        /// does not get in a pause would be lost.
        double min_burst = 2;
        duration burst_time = std::chrono::milliseconds{500};
        /// A server that takes nothing gets this many requests a second, which
        /// show whether it does again.
        double min_limit = 0.2;
        /// An instance that did not respond is not asked for this long, and
        /// twice as long each time after that.
        duration initial_silence = std::chrono::seconds{2};
        duration max_silence = std::chrono::minutes{1};
        /// The owner of a limit tells all instances of it this often.
        duration tell_interval = std::chrono::seconds{3};
        std::size_t max_servers = 1'024;
    };

    server_rate_limits(const instance_id& self, const options& limits);

    /// Sets the other instances. While there are none known, this instance
    /// grants itself the part of one among `unknown_count`.
    void set_peers(std::vector<instance_id> others, std::size_t unknown_count);

    /// Takes in the limit that an answer of the server names, if any. Returns
    /// true if the others should be told at once.
    bool on_answer(
        const server_id& server, std::optional<double> limit, time_point now);

    /// Takes in what another instance knows.
    void on_report(const server_limit& told, time_point now);

    /// The limit in force; none if requests need no grant.
    server_limit limit_of(const server_id& server, time_point now) const;

    /// The instance to ask for a grant; this one if it is the owner itself.
    instance_id owner_of(const server_id& server, time_point now) const;

    /// Grants a request as the owner, by what the asking instance knows.
    rate_grant grant(const server_limit& known, time_point now);

    /// A request for the server was not granted: requests avoid it meanwhile.
    void on_denied(const server_id& server, duration wait, time_point now);

    /// An owner did not respond. Returns what to tell all others.
    owner_presence on_silent(const instance_id& owner, time_point now);

    void on_presence(const owner_presence& told, time_point now);

    /// This instance stops: others grant from now on.
    void leave();

    /// Servers that grant nothing for now.
    std::vector<server_id> exhausted(time_point now) const;

    /// Time until the first of the exhausted servers may grant a request;
    /// nothing if none is exhausted.
    std::optional<duration> time_until_room(time_point now) const;

    /// Limits that this instance should tell all others now.
    std::vector<server_limit> take_due_reports(time_point now);

    std::size_t limited_count() const;

private:
    struct record
    {
        double limit = 0;
        time_point named_at;
        time_point exhausted_until{};
    };

    struct bucket
    {
        double tokens = 0;
        time_point updated_at;
        time_point told_at;
    };

    struct absence
    {
        owner_state state = owner_state::silent;
        time_point until;
        duration length{};
    };

    owner_state state_of(const instance_id& peer, time_point now) const;
    double rate_of(double limit) const;
    void forget_old(time_point now);

    const instance_id self;
    options limits;
    std::vector<instance_id> others;
    std::size_t unknown_count = 1;
    absl::flat_hash_map<server_id, record> records;
    /// Of the servers for which this instance was asked, or asked itself.
    absl::flat_hash_map<server_id, bucket> buckets;
    absl::flat_hash_map<instance_id, absence> absent;
    bool is_leaving = false;
};

} // namespace fireflysail
