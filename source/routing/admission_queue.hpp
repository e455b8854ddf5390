#pragma once

#include "routing/fair_queue.hpp"
#include "routing/outcome.hpp"
#include "routing/queue_entry.hpp"
#include "routing/slot_demand.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace fireflysail
{

/// The entry holds a slot and must be dispatched.
struct admitted
{
    ticket_id ticket;
};

/// The entry waits. A later poll() reports whether it was admitted or refused.
struct queued
{
    ticket_id ticket;
    duration expected_wait{};
};

/// The entry was removed from the queue without having been dispatched.
struct refused
{
    ticket_id ticket;
    did_not_run answer;
};

/// Requests that the stream be cancelled at its engine. Call on_preempted()
/// once the engine has confirmed, or release() if the stream ends by itself
/// first.
struct preempt
{
    ticket_id ticket;
};

enum class slot_end
{
    finished,
    /// Failed, cancelled, or gave up its slot to be resumed elsewhere.
    interrupted,
};

using submission = std::variant<admitted, queued, refused>;
using queue_decision = std::variant<admitted, refused, preempt>;

/// Admission control for the slots of one pool of backend servers. Not
/// thread-safe. Every operation is O(log n) in the number of waiting and
/// running entries, and only poll() decides about entries other than its
/// argument. Call poll() after every other operation, and about every 10 ms
/// while work waits.
///
/// Free slots are given in this order: resumes after a failure; entries whose
/// deadline leaves no more time to wait; late long work, up to its protected
/// share of the slots; long work below its reserved slots or of a higher class
/// than the short work; short work; other long work. Among long work, preempted
/// streams precede new work.
class admission_queue
{
public:
    struct options
    {
        fair_queue::options order;
        /// Number of waiting entries per class from which only workspaces below
        /// their fair share of the queue are admitted to it.
        std::size_t max_waiting_per_class = 512;
        /// Maximum expected wait of long work. Longer waits are refused.
        duration max_wait = std::chrono::seconds{30};
        /// Maximum expected time to serve all short work that waits in the
        /// class of an entry and in higher classes. A longer queue does not
        /// increase throughput and delays recovery from an overload.
        duration max_backlog_wait = std::chrono::milliseconds{1500};
        /// Queued work takes precedence once its remaining time exceeds its
        /// expected service by no more than this, so that accepted work meets
        /// its deadline.
        duration urgency_margin = std::chrono::milliseconds{300};
        /// Share of the slots reserved for long work at any load.
        double min_long_share = 0.15;
        /// Long work is late if it would end later than this multiple of its
        /// own service time after submission. Late long work is not preempted
        /// and takes precedence, within protected_long_share.
        double max_long_stretch = 1.75;
        /// Share of the slots within which late long work is protected.
        double protected_long_share = 0.45;
        /// Minimum run time of a stream between two preemptions.
        duration min_run_time = std::chrono::seconds{1};
        /// Expected waits of short work below this do not justify a preemption.
        duration tolerated_wait = std::chrono::milliseconds{200};
        /// Maximum expected wait of an entry, as a fraction of the time that
        /// its deadline leaves for waiting.
        double max_slack_fraction = 0.8;
        /// Fraction of the expected service that an entry takes in the
        /// optimistic case. An entry is refused for its deadline only if it
        /// would miss it even then.
        double optimistic_factor = 0.6;
    };

    explicit admission_queue(const options& chosen);

    admission_queue(const admission_queue&) = delete;
    admission_queue& operator=(const admission_queue&) = delete;

    /// Sets how many entries may hold a slot, e.g. the sum of the learned
    /// concurrency limits. A capacity below the number of running entries
    /// interrupts none of them.
    void set_capacity(std::size_t slots);

    /// Requests a slot. A refusal is final and carries did_not_run.
    submission submit(const queue_entry& entry, time_point now);

    /// Requests a slot for a stream that lost its own. It precedes all new work
    /// and is never refused; withdraw it with cancel().
    submission resume(const queue_entry& entry, time_point now);

    /// Releases the slot of an entry that has ended. Only finished entries
    /// update the estimates of service times.
    void release(ticket_id ticket, slot_end how, time_point now);

    /// Reports that the engine confirmed the cancellation requested by
    /// `preempt`. The stream waits with `remaining` as its expected service
    /// until it is admitted again.
    void on_preempted(ticket_id ticket, duration remaining, time_point now);

    /// Removes a waiting entry whose caller gave up. Returns false if the entry
    /// does not wait; call release() in that case.
    bool cancel(ticket_id ticket, time_point now);

    /// Admits waiting entries, refuses those that can no longer meet their
    /// deadline, and preempts long streams.
    std::vector<queue_decision> poll(time_point now);

    /// Expected wait of new work like `entry`.
    duration expected_wait(const queue_entry& entry, time_point now) const;

    /// Whether the entry counts as long work, which should also get a lower
    /// priority at the engine.
    bool is_long(const queue_entry& entry) const;

    std::size_t running() const;
    std::size_t running_long() const;
    std::size_t waiting() const;
    std::size_t capacity() const;

    /// Number of slots that long work may currently use.
    std::size_t long_limit() const;

private:
    /// Sort key of the preemptible running streams. The last one is preempted
    /// first: the lowest class, and within it the stream that a pause delays
    /// least in proportion to its service.
    struct victim_key
    {
        request_class priority = request_class::standard;
        /// Negated ratio of the expected time from submission to end, including
        /// one more pause, to the total service of the request.
        double negated_stretch = 0;
        ticket_id ticket;

        auto operator<=>(const victim_key&) const = default;
    };

    struct running_entry
    {
        queue_entry entry;
        time_point started;
        /// Expected end of this run, given the slowdown measured recently.
        time_point expected_end;
        /// Expected service of the request over all its runs.
        duration total_service{};
        time_point submitted;
        time_point overruns_at = time_point::max();
        /// Lane charged for this entry; null for a resumed stream.
        fair_queue* lane = nullptr;
        victim_key preemption_key{};
        bool is_long = false;
        bool preempting = false;
    };

    /// New work in the queue.
    struct waiting_entry
    {
        time_point submitted;
        time_point must_start;
        time_point urgent_at;
        /// Long work that starts later than this ends late.
        time_point latest_start = time_point::max();
    };

    struct resuming_entry
    {
        queue_entry entry;
        time_point since;
    };

    /// A preempted stream that waits to be resumed.
    struct paused_entry
    {
        queue_entry entry;
        duration total_service{};
        time_point submitted;
        time_point latest_start;
    };

    using timed_ticket = std::pair<time_point, ticket_id>;

    std::optional<did_not_run>
    reason_to_refuse(const queue_entry& entry, time_point now) const;
    bool class_is_full(const queue_entry& entry) const;
    bool is_below_fair_share(const queue_entry& entry) const;
    duration lane_wait(
        const fair_queue& lane,
        double rate,
        const queue_entry& entry,
        time_point now) const;
    duration expected_service(const queue_entry& entry) const;
    duration optimistic_service(const queue_entry& entry) const;
    const service_slowdown& slowdown_of(const queue_entry& entry) const;
    duration backlog_wait(const queue_entry& entry) const;
    double lane_rate(const queue_entry& entry) const;
    bool can_start_now(bool is_long) const;
    std::size_t free_slots() const;
    std::size_t reserved_long_slots() const;
    bool long_is_waiting() const;

    void start(
        const queue_entry& entry,
        duration total_service,
        time_point submitted,
        time_point now);
    std::optional<running_entry> stop(ticket_id ticket);
    void remove_waiting(ticket_id ticket);
    void mark_long(running_entry& running);
    void reclassify_overrunning(time_point now);
    void observe_demand(time_point now);
    victim_key victim_of(const running_entry& running) const;

    void refuse_expired(time_point now, std::vector<queue_decision>& decisions);
    std::optional<ticket_id> admit_next(time_point now);
    std::optional<ticket_id> admit_resume(time_point now);
    std::optional<ticket_id> admit_long(time_point now);
    std::optional<ticket_id> admit_urgent(time_point now);
    std::optional<ticket_id> admit_late_long(time_point now);
    ticket_id admit_paused(ticket_id ticket, time_point now);
    std::optional<ticket_id> admit_from(fair_queue& lane, time_point now);
    void start_new(const queue_entry& entry, fair_queue& lane, time_point now);
    std::size_t protected_long_slots() const;
    bool late_long_is_protected() const;
    time_point latest_start(
        const queue_entry& entry,
        duration total_service,
        time_point submitted) const;
    bool long_outranks_short() const;
    void preempt_long(time_point now, std::vector<queue_decision>& decisions);
    std::size_t preemptions_needed() const;
    std::size_t short_ending_soon() const;

    options chosen;
    std::size_t slots = 0;
    absl::flat_hash_map<ticket_id, running_entry> running_entries;
    std::size_t long_count = 0;
    std::size_t preempting_count = 0;
    std::set<victim_key> victims;
    /// Running entries that are not yet long work, by the time at which they
    /// are reclassified as long.
    std::set<timed_ticket> overrun_at;

    fair_queue short_lane;
    fair_queue long_lane;
    absl::flat_hash_map<ticket_id, waiting_entry> waiting_entries;
    std::set<timed_ticket> must_start;
    std::set<timed_ticket> urgent_order;
    std::array<std::set<timed_ticket>, request_class_count> resume_order;
    absl::flat_hash_map<ticket_id, resuming_entry> resuming;
    std::set<timed_ticket> paused_order;
    /// Waiting new long work, by its latest start.
    std::set<timed_ticket> long_order;
    absl::flat_hash_map<ticket_id, paused_entry> paused;

    long_work_threshold threshold;
    slot_demand short_demand;
    service_slowdown slowdown;
    service_slowdown long_slowdown;
    std::array<work_rate, request_class_count> arrivals;
};

} // namespace fireflysail
