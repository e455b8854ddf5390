#pragma once

#include "common/clock.hpp"
#include "routing/crash_suspicion.hpp"
#include "routing/prompt_suspicion.hpp"
#include "store/watch_hub.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace fireflysail
{

/// What instances tell one another of requests that crash engines.
using crash_news = std::variant<crashed_run, begun_parts, part_quarantine>;

/// Registry of requests whose content is suspected of crashing backend servers.
/// The instances share it, because such a request arrives at any of them: by
/// messages among them, which are quick and may be lost, and through the store,
/// where it outlasts the instances. Thread-safe.
class crash_registry final : public store_consumer
{
public:
    static constexpr const char* kind = "crash-suspicion";

    crash_registry(store& objects, const clock& time);

    /// Sets the callback that sends news to the other instances. Must be called
    /// before other threads use this object.
    void set_share(std::function<void(const crash_news&)> share);

    /// Returns whether a request to a plain service may run now.
    crash_status status_of(fingerprint print) const;

    /// Records the loss of a server that was starting to run the request.
    void on_crash(const server_id& server, fingerprint print);

    /// Returns whether a request to an engine may run now, and be repeated
    /// after a crash.
    crash_status status_of(const request_content& content) const;

    struct admission
    {
        crash_status status;
        /// Let through as the first one after a quarantine.
        bool is_trial = false;
    };

    /// Like status_of(), but lets one request through after a quarantine.
    admission admit(const request_content& content);

    /// Records a run of this instance that ended with its engine.
    void on_run_crashed(const crashed_run& run);

    /// Records that a run of this instance began to answer.
    void on_run_begun(const request_content& content);

    /// Applies what another instance told.
    void on_peer_news(const crash_news& news);

    /// Tells some quarantines again, for instances that missed them. Called at
    /// a steady pace.
    std::vector<crash_news> news_to_repeat();

    /// Writes new suspicions and quarantines to the store, and those that an
    /// earlier call failed to write; removes those that ended. Blocks on the
    /// store.
    void publish();

    struct counts
    {
        std::size_t suspected_parts = 0;
        std::size_t quarantined_parts = 0;
        std::uint64_t crashed_runs = 0;
        std::uint64_t quarantines = 0;
        std::uint64_t trials = 0;
    };

    counts counted() const;

    std::vector<std::string> kinds() const override;
    void on_snapshot(const store_snapshot& snapshot) override;
    void on_events(const watch_batch& batch) override;

private:
    /// Writes that the store still lacks, by the name of the object: its value,
    /// or nothing to remove it.
    struct pending_write
    {
        std::string value;
        time_point due;
    };

    void import_object(const stored_object& object);
    void import_fingerprint(const stored_object& object);
    void import_parts(const stored_object& object);
    void publish_fingerprints();
    void publish_quarantines();
    result<revision> write(const std::string& name, const std::string& value);
    std::vector<std::pair<std::string, std::string>> take_due_writes();
    void record_crash(const crashed_run& run, bool is_own);
    void import_quarantine(const part_quarantine& told);
    void note_quarantine(const part_quarantine& begun, std::string_view cause)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// Plans the writes after which the store holds what this instance knows.
    /// To be called after each change.
    void update_plans(duration write_delay)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    store& objects;
    const clock& time;
    std::function<void(const crash_news&)> share = [](const crash_news&) {};
    /// No prompt is under suspicion: the usual case, which takes no lock.
    std::atomic<bool> suspects_prompts = false;
    mutable absl::Mutex mutex;
    crash_suspicion suspicions ABSL_GUARDED_BY(mutex);
    prompt_suspicion prompts ABSL_GUARDED_BY(mutex);
    std::vector<fingerprint> unpublished ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::string, pending_write>
        pending ABSL_GUARDED_BY(mutex);
    /// Quarantines in the store, by the name of their object.
    absl::flat_hash_map<std::string, stored_object>
        stored ABSL_GUARDED_BY(mutex);
    counts totals ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
