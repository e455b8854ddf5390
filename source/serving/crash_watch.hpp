#pragma once

#include "common/clock.hpp"
#include "routing/crash_suspicion.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <optional>
#include <utility>
#include <vector>

namespace fireflysail
{

/// Whether an attempt may begin now.
enum class attempt_start
{
    go,
    /// A suspect has to wait for servers that run no other suspect.
    wait,
    /// The request crashes backend servers.
    quarantined,
};

/// Knows which requests run on which backend servers, and judges all of them
/// together when one of the servers is lost. Thread-safe.
class crash_watch
{
public:
    /// One request from its admission to its outcome.
    class run
    {
    public:
        run(crash_watch& owner, fingerprint print);
        ~run();

        run(const run&) = delete;
        run& operator=(const run&) = delete;

        /// Asks to begin an attempt on these backend servers.
        attempt_start begin_attempt(const std::vector<server_id>& servers);

        void on_delivered(token_index next);

        /// `server` was lost in the attempt.
        crash_verdict on_lost(const server_id& server);

        /// The attempt ended without a finding about any server.
        void end_attempt();

        void on_completed();

    private:
        friend class crash_watch;

        crash_watch& owner;
        fingerprint print;
        std::atomic<std::uint32_t> delivered{0};
        std::atomic<bool> suspected{false};
        bool isolated = false;
        std::vector<server_id> servers;
        /// Verdict of a loss that another request found first.
        std::optional<std::pair<server_id, crash_verdict>> judged;
    };

    explicit crash_watch(const clock& time);

    /// Asked for each new request before it is queued.
    crash_status status_of(fingerprint print) const;

    std::vector<crash_record> export_records() const;
    void import_records(const std::vector<crash_record>& records);

private:
    const clock& time;
    mutable absl::Mutex mutex;
    crash_suspicion suspicion ABSL_GUARDED_BY(mutex);
    absl::flat_hash_set<run*> runs ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
