#pragma once

#include "common/clock.hpp"
#include "ledger/attempt_table.hpp"
#include "ledger/claim_session.hpp"
#include "ledger/ledger_ports.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace fireflysail
{

struct ledger_options
{
    claim_limits limits;
    /// Time limit of each store call, inquiry and lookup.
    duration call_time{std::chrono::milliseconds{300}};
    /// Maximum number of requests in flight plus outcomes not yet recorded.
    std::size_t max_attempts = 4096;
    /// Later deadlines are shortened to this, so that no request outlives the
    /// retention of its entry.
    duration longest_request{std::chrono::minutes{30}};
    /// Number of times that cleanup tries to remove a claim that may be
    /// orphaned, and the delay before the first try. The delay doubles after
    /// each try.
    int cleanup_tries = 5;
    duration cleanup_delay{std::chrono::seconds{1}};
};

struct ledger_counts
{
    /// Indexed by alternative of ledger_answer.
    std::array<std::uint64_t, std::variant_size_v<ledger_answer>> answers{};
    /// Number of executed commands, indexed by alternative of session_command.
    std::array<std::uint64_t, std::variant_size_v<session_command>> commands{};
    std::uint64_t cleanup_calls = 0;
    std::uint64_t record_retries = 0;
    /// Outcomes not yet written to the store.
    std::size_t unrecorded = 0;
    std::size_t in_flight = 0;
};

/// Runs requests that must not run more than once. Thread-safe. `run` blocks
/// until there is an answer.
class at_most_once_executor
{
public:
    /// Sends the request to the service once, together with the attempt id.
    using dispatch_function = std::function<dispatch_result(const attempt_id&)>;

    /// `self` must be unique to this incarnation of the instance. The objects
    /// passed by reference must outlive the executor.
    at_most_once_executor(
        const ledger_options& options,
        const instance_id& self,
        claim_store& claims,
        claimant_inquiry& peers,
        sleeper& backoff_sleeper,
        const clock& time);

    /// `lookup` is null if the service offers no lookup.
    ledger_answer
    run(const claim_request& request,
        const dispatch_function& dispatch,
        service_lookup* lookup = nullptr);

    /// Answers another instance's inquiry. Gives up the attempt if it has not
    /// been dispatched.
    claimant_answer answer_inquiry(const attempt_id& attempt);

    /// Retries writes of outcomes that the store did not accept, and removes
    /// orphaned claims. Must be called about once a second by a single thread,
    /// and before shutdown until `counts().unrecorded` is zero.
    void settle();

    ledger_counts counts() const;

private:
    class command_executor;

    struct orphaned_claim
    {
        claim_key key;
        attempt_id attempt;
        time_point next_try;
        duration pause;
        int tries_left = 0;
    };

    std::optional<ledger_answer>
    enter(const claim_request& request, const attempt_id& attempt);
    ledger_answer run_session(
        claim_session session,
        const dispatch_function& dispatch,
        service_lookup* lookup);
    bool update_attempts(
        const claim_session& session, const session_command& command);
    void finish(const claim_session& session, const give_answer& command);
    time_point call_deadline() const;
    bool retry_record(const record_outcome& outcome);
    bool remove_orphan(const orphaned_claim& claim);
    std::vector<orphaned_claim> take_due_cleanups();
    attempt_id new_attempt();

    const ledger_options options;
    const instance_id self;
    claim_store& claims;
    claimant_inquiry& peers;
    sleeper& backoff_sleeper;
    const clock& time;

    std::atomic<std::uint64_t> next_attempt{1};
    std::array<std::atomic<std::uint64_t>, std::variant_size_v<ledger_answer>>
        answer_counts{};
    std::array<std::atomic<std::uint64_t>, std::variant_size_v<session_command>>
        command_counts{};
    std::atomic<std::uint64_t> cleanup_count{0};
    std::atomic<std::uint64_t> retry_count{0};

    mutable absl::Mutex mutex;
    attempt_table attempts ABSL_GUARDED_BY(mutex);
    std::vector<record_outcome> unrecorded ABSL_GUARDED_BY(mutex);
    std::vector<orphaned_claim> orphaned_claims ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
