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

/// The entry holds a slot now: dispatch it.
struct admitted
{
    ticket_id ticket;
};

/// The entry waits; a later poll() says what became of it.
struct queued
{
    ticket_id ticket;
    duration expected_wait{};
};

/// The entry is out of the queue and has never been dispatched.
struct refused
{
    ticket_id ticket;
    did_not_run answer;
};

/// Cancel this stream at the engine, then call on_preempted(). If it ends by
/// itself first, call release() instead.
struct preempt
{
    ticket_id ticket;
};

enum class slot_end
{
    finished,
    /// Failed, cancelled or left its slot to be resumed elsewhere.
    interrupted,
};

using submission = std::variant<admitted, queued, refused>;
using queue_decision = std::variant<admitted, refused, preempt>;

/// Decides who holds the slots of one pool of backend servers. Not
/// synchronised; each operation is O(log n) in waiting and running work, and
/// each but poll() decides about one entry only. Call poll() after each of
/// them and about every 10 ms while work waits.
///
/// Order in which slots are given: resumes after a failure, the slots kept for
/// long work, short work, preempted streams, new long work.
class admission_queue
{
public:
    struct options
    {
        fair_queue::options order;
        /// Entries that may wait in one class before only workspaces below
        /// their fair part of the queue are let in.
        std::size_t max_waiting_per_class = 512;
        /// Longest expected wait of long work without a deadline.
        duration max_wait = std::chrono::seconds{30};
        /// Time in which all short work that waits, of an entry's class and
        /// above, must be expected to be gone. A longer queue adds nothing to
        /// throughput and delays the return to normal.
        duration max_backlog_wait = std::chrono::milliseconds{1500};
        /// Queued work goes first when so little time is left beyond its
        /// expected service: what was let in is to be served.
        duration urgency_margin = std::chrono::milliseconds{300};
        /// Part of the slots that long work keeps under any pressure.
        double min_long_share = 0.15;
        /// Long work that would end later than this many times its own service
        /// after submission is late: it is not preempted and goes first, while
        /// long work holds no more than half of the slots.
        double max_long_stretch = 1.75;
        /// Part of the slots up to which late long work is protected.
        double protected_long_share = 0.45;
        /// A stream runs at least this long between two preemptions.
        duration min_run_time = std::chrono::seconds{1};
        /// Short work that is expected to wait less is not worth a preemption.
        duration tolerated_wait = std::chrono::milliseconds{200};
        /// Part of the time to its deadline that work may be expected to wait.
        double max_slack_fraction = 0.8;
        /// Part of its expected service that work may take if it turns out
        /// short; only what would be late even then is refused for that.
        double optimistic_factor = 0.6;
    };

    explicit admission_queue(const options& chosen);

    admission_queue(const admission_queue&) = delete;
    admission_queue& operator=(const admission_queue&) = delete;

    /// Sets how many entries may hold a slot, e.g. the sum of the learned
    /// limits. Fewer than are running cuts nothing off.
    void set_capacity(std::size_t slots);

    /// Asks for a slot. A refusal is final and says did_not_run.
    submission submit(const queue_entry& entry, time_point now);

    /// Asks for a slot for a stream that lost its own; goes before all new
    /// work and is never refused: give it up by cancel().
    submission resume(const queue_entry& entry, time_point now);

    /// The entry ended in whatever way; its slot is free. Only finished work
    /// teaches the queue how long work takes.
    void release(ticket_id ticket, slot_end how, time_point now);

    /// The engine confirmed the cancel that `preempt` asked for. The stream
    /// waits with `remaining` expected service and is admitted again later.
    void on_preempted(ticket_id ticket, duration remaining, time_point now);

    /// Takes out a waiting entry whose caller gave up; false when it does not
    /// wait (release() it then).
    bool cancel(ticket_id ticket, time_point now);

    /// Admits, refuses what can no longer meet its deadline, and preempts.
    std::vector<queue_decision> poll(time_point now);

    /// Wait that new work like `entry` should expect.
    duration expected_wait(const queue_entry& entry, time_point now) const;

    /// Whether the entry counts as long work, which should also have a lower
    /// priority at the engine.
    bool is_long(const queue_entry& entry) const;

    std::size_t running() const;
    std::size_t running_long() const;
    std::size_t waiting() const;
    std::size_t capacity() const;

    /// Slots that long work may take at present.
    std::size_t long_limit() const;

private:
    /// Running streams in the order in which they are preempted: lowest class
    /// first, then the one that a pause delays least in proportion.
    struct victim_key
    {
        request_class priority = request_class::standard;
        /// Less the expected time from submission to end with one more pause,
        /// over the service of the request.
        double negated_stretch = 0;
        ticket_id ticket;

        auto operator<=>(const victim_key&) const = default;
    };

    struct running_entry
    {
        queue_entry entry;
        time_point started;
        /// When this run should end, at the speed seen lately.
        time_point expected_end;
        /// Whole expected service of the request, over all its runs.
        duration total_service{};
        time_point submitted;
        time_point overruns_at = time_point::max();
        /// Lane that was charged for it; none for a resumed stream.
        fair_queue* lane = nullptr;
        victim_key preemption_key{};
        bool is_long = false;
        bool preempting = false;
    };

    /// New work that waits.
    struct waiting_entry
    {
        time_point submitted;
        time_point must_start;
        time_point urgent_at;
        /// For long work: starting later makes it end late.
        time_point latest_start = time_point::max();
    };

    struct resuming_entry
    {
        queue_entry entry;
        time_point since;
    };

    /// A preempted stream that waits to go on.
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
    /// Running short work, by the time at which it turns out to be long.
    std::set<timed_ticket> overrun_at;

    fair_queue short_lane;
    fair_queue long_lane;
    absl::flat_hash_map<ticket_id, waiting_entry> waiting_entries;
    std::set<timed_ticket> must_start;
    std::set<timed_ticket> urgent_order;
    std::array<std::set<timed_ticket>, request_class_count> resume_order;
    absl::flat_hash_map<ticket_id, resuming_entry> resuming;
    std::set<timed_ticket> paused_order;
    /// New long work that waits, by its latest start.
    std::set<timed_ticket> long_order;
    absl::flat_hash_map<ticket_id, paused_entry> paused;

    long_work_threshold threshold;
    slot_demand short_demand;
    service_slowdown slowdown;
    service_slowdown long_slowdown;
    std::array<work_rate, request_class_count> arrivals;
};

} // namespace fireflysail
