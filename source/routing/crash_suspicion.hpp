#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace fireflysail
{

/// A request in flight when a backend server was lost.
struct request_in_flight
{
    fingerprint print;
    token_index delivered;
};

enum class loss_kind
{
    /// The server terminated for an unknown reason.
    crash,
    /// An operator or the platform stopped the server, or its zone or link was
    /// lost.
    planned,
};

/// How a request in flight at a loss may be retried.
enum class crash_verdict
{
    retry_freely,
    /// Only on servers that run no other suspect; see try_isolate().
    retry_isolated,
    /// The request crashes backend servers: answer the caller and do not retry.
    quarantined,
};

enum class suspicion_level
{
    normal,
    suspect,
    quarantined,
};

struct crash_status
{
    suspicion_level level = suspicion_level::normal;
    /// Time until the quarantine ends.
    duration retry_after{};
};

/// Record of one fingerprint, as exchanged between instances. Times are
/// relative, because instances do not share a clock.
struct crash_record
{
    fingerprint print;
    std::uint32_t crashes = 0;
    std::uint32_t quarantines = 0;
    /// Time since the last crash.
    duration crashed_ago{};
    /// Remaining time of the quarantine; zero for a suspect.
    duration quarantined_for{};

    auto operator<=>(const crash_record&) const = default;
};

/// Identifies requests whose content crashes backend servers. After a first
/// crash all requests that were in flight are suspects. Each is retried on
/// backend servers that run no other suspect, so that a second crash identifies
/// its cause.
class crash_suspicion
{
public:
    struct options
    {
        duration initial_quarantine = std::chrono::minutes{2};
        double quarantine_growth = 4;
        duration max_quarantine = std::chrono::hours{4};
        /// How long a fingerprint stays a suspect after its last crash or the
        /// end of its quarantine.
        duration suspicion_lifetime = std::chrono::minutes{10};
        /// Number of backend servers lost within common_cause_window from which
        /// the losses are attributed to a common cause, not to a request.
        std::size_t common_cause_servers = 3;
        duration common_cause_window = std::chrono::seconds{1};
        /// Number of tokens beyond the crash point after which a suspect is
        /// cleared.
        std::uint32_t clearing_tokens = 1;
        std::size_t max_records = 4096;
        std::size_t max_exported = 256;
    };

    explicit crash_suspicion(const options& chosen);

    /// Status of a fingerprint; checked for each new request before it is
    /// queued.
    crash_status status_of(fingerprint print, time_point now) const;

    /// Returns one verdict per request, in the order of `in_flight`.
    std::vector<crash_verdict> on_loss(
        const server_id& server,
        loss_kind kind,
        std::span<const request_in_flight> in_flight,
        time_point now);

    /// Reserves the backend servers for an attempt of a suspect. Returns false
    /// while one of them runs another suspect, or another attempt of the same
    /// fingerprint runs.
    bool try_isolate(
        fingerprint print, std::span<const server_id> servers, time_point now);

    /// Clears a suspect that has progressed beyond its crash point.
    void on_progress(fingerprint print, token_index delivered);

    /// Clears a suspect that completed.
    void on_completed(fingerprint print);

    /// Ends the attempt of a suspect without clearing it.
    void on_interrupted(fingerprint print);

    /// Whether an isolated suspect runs on the server. Other requests are
    /// better placed elsewhere.
    bool runs_suspect(const server_id& server) const;

    /// Records for peers, latest first: all quarantines in force, and the
    /// suspects that this instance observed itself. Other suspects are left out
    /// because a peer may have cleared them.
    std::vector<crash_record> export_records(time_point now) const;

    /// Merges a record from a peer; never shortens a quarantine.
    void import_record(const crash_record& imported, time_point now);

private:
    struct record
    {
        /// Sum of its shares in the crashes during which it was in flight.
        double share = 0;
        std::uint32_t crashes = 0;
        std::uint32_t quarantines = 0;
        time_point last_crash;
        time_point quarantined_until{};
        token_index crash_point;
        std::vector<server_id> isolated_on;
        /// In flight at a crash that this instance observed, as opposed to one
        /// reported by a peer only.
        bool observed_locally = false;
    };

    struct loss
    {
        server_id server;
        time_point when;
        std::vector<fingerprint> new_suspects;
    };

    bool is_known_suspect(fingerprint print, time_point now) const;
    std::vector<fingerprint> known_suspects(
        std::span<const request_in_flight> in_flight, time_point now) const;
    bool has_common_cause(const server_id& server, time_point now);
    void clear_recent_suspects();
    void suspect_all(
        loss& entry,
        std::span<const request_in_flight> in_flight,
        time_point now);
    void attribute_crash(std::span<const fingerprint> suspects, time_point now);
    void quarantine(record& suspect, time_point now);
    void end_isolation(record& suspect);
    void clear(fingerprint print);
    void evict_inactive(time_point now);

    options chosen;
    absl::flat_hash_map<fingerprint, record> records;
    absl::flat_hash_map<server_id, fingerprint> isolation;
    std::deque<loss> recent_losses;
};

/// The instance that may isolate its suspects on `server`, so that two
/// instances do not use the same server. `alive` must not be empty.
instance_id
isolation_owner(const server_id& server, std::span<const instance_id> alive);

} // namespace fireflysail
