#pragma once

#include "store/store.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fireflysail
{

enum class store_call
{
    get,
    list,
    create,
    update,
    remove,
    watch,
};

inline constexpr std::size_t store_call_kinds = 6;

/// What goes wrong with the calls from now on.
struct store_faults
{
    /// Every call fails at once, without effect.
    bool down = false;
    /// Lists and gets answer from the state at the time this was set.
    bool stale_reads = false;
    /// Time that each call takes. A write whose deadline comes earlier takes
    /// effect late, after its caller has given up.
    duration delay{0};
    /// How long after the call a late write takes effect.
    duration late_by{0};

    /// The next so many writes take effect, but their answer is lost.
    std::uint32_t lost_answers = 0;
    /// The next so many writes are lost on the way: no effect, no answer.
    std::uint32_t lost_requests = 0;
    /// The next so many writes take effect `late_by` after their answer was
    /// given up.
    std::uint32_t late_writes = 0;

    /// Chances of the same for each write, for randomised runs.
    double lost_answer_chance = 0;
    double lost_request_chance = 0;
    double late_write_chance = 0;
    /// Chance that a call of any sort fails without effect.
    double refused_chance = 0;
};

using store_call_counts = std::array<std::uint64_t, store_call_kinds>;

/// What the store really did, for checks.
struct store_truth
{
    revision version;
    std::size_t objects = 0;
    store_call_counts calls{};
    /// Calls by kind of object; a list or watch counts for each of its kinds.
    std::map<std::string, store_call_counts> calls_by_kind;
    std::uint64_t writes_applied = 0;
};

/// In-memory stand-in for the platform's object store, with faults. Safe to
/// use from many threads.
class store_model final : public store
{
public:
    enum class watch_mode
    {
        /// A watch answers at once with what there is (virtual clock).
        immediate,
        /// A watch waits for a change until its deadline (real clock).
        blocking,
    };

    explicit store_model(
        const clock& time,
        watch_mode mode = watch_mode::immediate,
        std::uint64_t seed = 1);

    result<stored_object>
    get(const object_key& key, time_point deadline) override;

    result<store_snapshot>
    list(const std::vector<std::string>& kinds, time_point deadline) override;

    result<revision> create(
        const object_key& key,
        const std::string& value,
        time_point deadline) override;

    result<revision> update(
        const object_key& key,
        const std::string& value,
        revision expected,
        time_point deadline) override;

    result<revision> remove(
        const object_key& key, revision expected, time_point deadline) override;

    result<watch_batch> watch(
        const std::vector<std::string>& kinds,
        revision from,
        time_point deadline) override;

    void set_faults(const store_faults& next);
    store_faults faults() const;

    /// Called, outside the lock, with the delay of each slow call: sleeps in
    /// the HTTP stand-in, may advance a manual clock in a test.
    void on_delay(std::function<void(duration)> hook);

    /// Forgets the history: watches from an earlier revision are refused.
    void compact();

    /// Keeps at most so many events of history.
    void limit_history(std::size_t events);

    /// Applies every late write now, whether due or not.
    void flush_late_writes();

    /// Number of late writes that have not taken effect yet.
    std::size_t late_writes_pending() const;

    /// Ends all waiting watches, now and from now on.
    void stop_watches();

    store_truth truth() const;

    /// Objects as they are, whatever the faults; counts no call.
    std::vector<stored_object> objects() const;

private:
    using object_map = std::map<object_key, stored_object>;

    struct write
    {
        store_call call = store_call::create;
        object_key key;
        std::string value;
        revision expected;
    };

    struct late_write
    {
        time_point due;
        write what;
    };

    enum class fate
    {
        served,
        refused,
        answer_lost,
        request_lost,
        late,
    };

    result<revision> perform(const write& what, time_point deadline);
    fate draw_fate(store_call call) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool chance(double of) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void count(store_call call, const std::string& kind)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    result<revision> apply(const write& what)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void apply_due_writes() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void trim_history() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool begin_read(store_call call, time_point deadline);
    watch_batch
    collect(const std::vector<std::string>& kinds, revision from) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void delay_call(duration by);

    const clock& time;
    const watch_mode mode;

    mutable absl::Mutex mutex;
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
    store_faults current ABSL_GUARDED_BY(mutex);
    std::function<void(duration)> delay_hook ABSL_GUARDED_BY(mutex);
    object_map live ABSL_GUARDED_BY(mutex);
    std::optional<store_snapshot> frozen ABSL_GUARDED_BY(mutex);
    revision version ABSL_GUARDED_BY(mutex);
    std::vector<store_event> history ABSL_GUARDED_BY(mutex);
    revision compacted ABSL_GUARDED_BY(mutex);
    std::size_t history_limit ABSL_GUARDED_BY(mutex) = 1'000'000;
    std::vector<late_write> late ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    store_truth counters ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
