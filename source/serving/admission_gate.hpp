#pragma once

#include "common/clock.hpp"
#include "common/wake_signal.hpp"
#include "routing/admission_queue.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <variant>

namespace fireflysail
{

/// Whether the caller still waits for its answer.
using caller_presence = std::function<bool()>;

/// Lets request threads wait for their turn in an admission_queue.
class admission_gate
{
public:
    /// A turn that was given; the slot is released when it is destroyed.
    class slot
    {
    public:
        slot(admission_gate& gate, const queue_entry& entry);
        ~slot();

        slot(const slot&) = delete;
        slot& operator=(const slot&) = delete;

        /// True when the stream is to be cancelled and yield().
        bool preempt_requested() const;

        /// Gives the slot up after a preemption and waits for the next turn;
        /// false when the caller left meanwhile.
        bool yield(duration remaining, const caller_presence& present);

        /// Leaves the slot while the stream waits for a replacement of a lost
        /// backend server, and waits for the next turn; false when the caller
        /// left meanwhile.
        bool resume(const caller_presence& present);

        /// The work ended by itself, which teaches the queue its duration.
        void finish();

    private:
        friend class admission_gate;

        admission_gate& gate;
        queue_entry entry;
        bool holds_turn = true;
        bool finished = false;
        std::atomic<bool> preempting{false};
    };

    using entrance = std::variant<std::unique_ptr<slot>, did_not_run>;

    admission_gate(const clock& time, const admission_queue::options& options);

    admission_gate(const admission_gate&) = delete;
    admission_gate& operator=(const admission_gate&) = delete;

    void set_capacity(std::size_t slots);

    /// Waits until the entry is admitted or refused. The ticket is given here.
    entrance enter(queue_entry entry, const caller_presence& present);

    /// Lets the queue act on the passing of time; called every 10 ms.
    void tick();

    std::size_t waiting() const;
    std::size_t running() const;

private:
    enum class standing
    {
        waiting,
        admitted,
        refused,
    };

    /// A thread that waits for its turn; lives on its stack.
    struct waiter
    {
        standing state = standing::waiting;
        did_not_run answer;
        wake_signal changed;
    };

    void settle() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void apply(const admitted& decision) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void apply(const refused& decision) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void apply(const preempt& decision) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void wait(ticket_id ticket, waiter& self, const caller_presence& present)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const clock& time;
    mutable absl::Mutex mutex;
    admission_queue queue ABSL_GUARDED_BY(mutex);
    std::uint64_t next_ticket ABSL_GUARDED_BY(mutex) = 1;
    absl::flat_hash_map<ticket_id, waiter*> waiters ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<ticket_id, slot*> slots ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
