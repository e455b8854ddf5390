#pragma once

#include "blackboard/lists.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fireflysail
{

/// Times of requests, each kept in a histogram per workspace and class.
enum class request_time
{
    first_token,
    between_tokens,
    queue_wait,
    total,
};

inline constexpr std::size_t request_times = 4;

/// What is counted over all requests.
enum class request_event
{
    completed,
    did_not_run,
    outcome_unknown,
    failed,
    resume,
    preemption,
    quarantine,
    dropped_late_event,
    rejected_token,
    replayed_answer,
    malformed_request,
    unauthenticated,
    /// An answer that came where that to another request was due.
    foreign_answer,
};

inline constexpr std::size_t request_events = 13;

/// Histograms and counters of the requests of this instance. Thread-safe;
/// observing takes no lock once a workspace is known.
class request_metrics
{
public:
    /// Workspaces beyond this many share one histogram.
    static constexpr std::size_t max_workspaces = 1'024;

    request_metrics();
    ~request_metrics();

    request_metrics(const request_metrics&) = delete;
    request_metrics& operator=(const request_metrics&) = delete;

    void observe(
        const workspace_id& workspace,
        request_class priority,
        request_time what,
        duration taken);

    void count(request_event what);

    std::uint64_t counted(request_event what) const;

    /// Everything in Prometheus text format.
    std::string to_prometheus() const;

private:
    struct table;

    std::unique_ptr<table> histograms;
    std::array<std::atomic<std::uint64_t>, request_events> counters{};
};

} // namespace fireflysail
