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

/// One request that was in flight when a backend server was lost.
struct request_in_flight
{
    fingerprint print;
    token_index delivered;
};

enum class loss_kind
{
    /// It ended by itself, for a reason that is not known.
    crash,
    /// An operator or the platform stopped it, or its zone or link was lost.
    planned,
};

/// How a request that was in flight at a loss may be retried.
enum class crash_verdict
{
    retry_freely,
    /// Only where no other suspect runs; see try_isolate().
    retry_isolated,
    /// It crashes backend servers: answer the caller, do not retry.
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

/// One fingerprint as told to other instances. Times are relative, as clocks
/// are not shared.
struct crash_record
{
    fingerprint print;
    std::uint32_t crashes = 0;
    std::uint32_t quarantines = 0;
    /// Time since the latest crash.
    duration crashed_ago{};
    /// How long it is still quarantined; zero for a suspect.
    duration quarantined_for{};

    auto operator<=>(const crash_record&) const = default;
};

/// Finds requests whose content crashes backend servers. The first crash makes
/// suspects of all that were in flight; each is retried on backend servers
/// that run no other suspect, so that a second crash tells which one it was.
class crash_suspicion
{
public:
    struct options
    {
        duration initial_quarantine = std::chrono::minutes{2};
        double quarantine_growth = 4;
        duration max_quarantine = std::chrono::hours{4};
        /// A suspect that is not seen again is forgotten after this time.
        duration suspicion_lifetime = std::chrono::minutes{10};
        /// Losses of this many backend servers at about the same time are not
        /// the work of one request.
        std::size_t common_cause_servers = 3;
        duration common_cause_window = std::chrono::seconds{1};
        /// Tokens past the point of the crash that clear a suspect.
        std::uint32_t clearing_tokens = 1;
        std::size_t max_records = 4096;
        std::size_t max_exported = 256;
    };

    explicit crash_suspicion(const options& chosen);

    /// Asked for each new request before it is queued.
    crash_status status_of(fingerprint print, time_point now) const;

    /// One verdict for each request, in their order.
    std::vector<crash_verdict> on_loss(
        const server_id& server,
        loss_kind kind,
        std::span<const request_in_flight> in_flight,
        time_point now);

    /// Reserves the backend servers for a suspect's attempt. False while one
    /// of them runs another suspect, or another copy of the request runs.
    bool try_isolate(
        fingerprint print, std::span<const server_id> servers, time_point now);

    /// Clears a suspect that got past the point at which it was suspected.
    void on_progress(fingerprint print, token_index delivered);

    /// Clears a suspect that completed.
    void on_completed(fingerprint print);

    /// Ends a suspect's attempt without a finding.
    void on_interrupted(fingerprint print);

    /// True while a suspect runs there; better placed elsewhere.
    bool runs_suspect(const server_id& server) const;

    /// Records for peers, latest first: all quarantines, and the suspects that
    /// this instance found itself, as a peer may have cleared the others.
    std::vector<crash_record> export_records(time_point now) const;

    /// Takes over what a peer knows; never shortens a quarantine.
    void import_record(const crash_record& imported, time_point now);

private:
    struct record
    {
        /// Sum of its shares in the crashes at which it was in flight.
        double share = 0;
        std::uint32_t crashes = 0;
        std::uint32_t quarantines = 0;
        time_point last_crash;
        time_point quarantined_until{};
        token_index crash_point;
        std::vector<server_id> isolated_on;
        /// Seen at a crash by this instance, not only told by a peer.
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

/// The instance whose suspects may be isolated on `server`, so that two
/// instances do not try theirs on the same one. `alive` is not empty.
instance_id
isolation_owner(const server_id& server, std::span<const instance_id> alive);

} // namespace fireflysail
