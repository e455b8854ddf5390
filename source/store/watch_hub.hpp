#pragma once

#include "common/wake_signal.hpp"
#include "store/store_watcher.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <string>
#include <thread>
#include <vector>

namespace fireflysail
{

/// A reader of the process's single watch. All calls come from one thread.
class store_consumer
{
public:
    virtual ~store_consumer() = default;

    /// The kinds of object that this consumer reads; fixed for its life.
    virtual std::vector<std::string> kinds() const = 0;

    /// Every object of these kinds, as of `snapshot.version`; replaces what
    /// was known. Never older than anything passed on before.
    virtual void on_snapshot(const store_snapshot& snapshot) = 0;

    /// The changes of these kinds up to and including `batch.next`, which may
    /// be none.
    virtual void on_events(const watch_batch& batch) = 0;
};

struct watch_hub_status
{
    revision position;
    std::optional<time_point> last_answer;
    std::optional<time_point> failing_since;
    store_watcher_counts counts;
    /// Start of the watch in progress; none between two watches.
    std::optional<time_point> watching_since;
};

/// Feeds any number of consumers from one list and one watch.
class watch_hub
{
public:
    /// The consumers and the store must outlive the hub.
    watch_hub(
        store& source,
        std::vector<store_consumer*> consumers,
        const clock& time,
        const store_watcher_options& options,
        std::uint64_t seed);
    ~watch_hub();

    watch_hub(const watch_hub&) = delete;
    watch_hub& operator=(const watch_hub&) = delete;

    /// Carries out one step and says when the next one is due. For tests and
    /// simulations; otherwise the hub's thread does it.
    time_point step();

    /// Begins to follow the store on a thread of the hub's own, unless it does
    /// so already.
    void start();

    /// Ends the thread; waits for a watch in flight.
    void stop();

    /// May be called from any thread.
    watch_hub_status status() const;

private:
    void carry_out(const store_watcher::list_now& what);
    void carry_out(const store_watcher::watch_now& what);
    /// Carries out what is due and says when the next step is.
    time_point carry_out_next();
    void log_stale_list(revision version) const;
    void publish_status();
    void run();

    store& source;
    const std::vector<store_consumer*> consumers;
    const std::vector<std::string> kinds;
    const clock& time;
    store_watcher watcher;

    mutable absl::Mutex mutex;
    watch_hub_status published ABSL_GUARDED_BY(mutex);
    wake_signal stop_request;
    std::thread thread;
};

} // namespace fireflysail
