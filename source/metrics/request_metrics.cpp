#include "metrics/request_metrics.hpp"

#include "common/snapshot_cell.hpp"

#include <absl/container/flat_hash_map.h>
#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <iterator>
#include <mutex>
#include <utility>

namespace fireflysail
{

namespace
{

namespace bh = boost::histogram;

constexpr unsigned bins = 24;
constexpr double shortest_s = 0.000'1;
constexpr double longest_s = 1'000;
constexpr std::size_t classes = 3;

constexpr std::array<std::string_view, request_times> time_names{
    "first_token", "between_tokens", "queue_wait", "total"};

constexpr std::array<std::string_view, classes> class_names{
    "interactive", "standard", "batch"};

constexpr std::array<std::string_view, request_events> event_names{
    "completed",
    "did_not_run",
    "outcome_unknown",
    "failed",
    "resume",
    "preemption",
    "quarantine",
    "dropped_late_event",
    "rejected_token",
    "replayed_answer",
    "malformed_request",
    "unauthenticated",
    "foreign_answer"};

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

// Counts that several threads may add to at once.
using atomic_storage =
    bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;

using histogram = bh::histogram<std::tuple<log_axis>, atomic_storage>;

struct time_histogram
{
    histogram seconds{bh::make_histogram_with(
        atomic_storage{}, log_axis{bins, shortest_s, longest_s})};
    std::atomic<std::uint64_t> sum_us{0};
};

struct workspace_histograms
{
    std::array<std::array<time_histogram, request_times>, classes> times;
};

using workspace_table =
    absl::flat_hash_map<std::string, std::shared_ptr<workspace_histograms>>;

std::string escape_label(std::string_view text)
{
    std::string escaped;
    for (const char c : text)
    {
        if (c == '"' || c == '\\')
        {
            escaped += '\\';
        }
        escaped += c == '\n' ? ' ' : c;
    }
    return escaped;
}

void print_histogram(
    std::string& out,
    std::string_view name,
    const std::string& labels,
    const time_histogram& shown)
{
    std::uint64_t below = 0;
    const auto& axis = shown.seconds.axis();
    // Times below the range belong to every bucket.
    below += shown.seconds.at(-1).value();
    for (int i = 0; i < axis.size(); ++i)
    {
        below += shown.seconds.at(i).value();
        fmt::format_to(
            std::back_inserter(out),
            "fireflysail_{}_seconds_bucket{{{},le=\"{:.6g}\"}} {}\n",
            name,
            labels,
            axis.bin(i).upper(),
            below);
    }
    below += shown.seconds.at(axis.size()).value();
    fmt::format_to(
        std::back_inserter(out),
        "fireflysail_{0}_seconds_bucket{{{1},le=\"+Inf\"}} {2}\n"
        "fireflysail_{0}_seconds_sum{{{1}}} {3}\n"
        "fireflysail_{0}_seconds_count{{{1}}} {2}\n",
        name,
        labels,
        below,
        static_cast<double>(shown.sum_us.load()) / 1e6);
}

} // namespace

struct request_metrics::table
{
    snapshot_cell<workspace_table> by_workspace;
    std::mutex adding;

    std::shared_ptr<workspace_histograms> find(const std::string& name) const
    {
        return this->by_workspace.read(
            [&name](const workspace_table& known)
            {
                const auto found = known.find(name);
                return found == known.end() ? nullptr : found->second;
            });
    }

    std::shared_ptr<workspace_histograms> add(const std::string& name)
    {
        const std::lock_guard lock{this->adding};
        const auto known = this->by_workspace.load();
        const auto& key = known->size() < max_workspaces ? name : other();
        if (const auto found = known->find(key); found != known->end())
        {
            return found->second;
        }
        auto next = std::make_shared<workspace_table>(*known);
        auto added = std::make_shared<workspace_histograms>();
        (*next)[key] = added;
        this->by_workspace.publish(std::move(next));
        return added;
    }

    static const std::string& other()
    {
        static const std::string name{"(other)"};
        return name;
    }
};

request_metrics::request_metrics()
    : histograms{std::make_unique<table>()}
{
}

request_metrics::~request_metrics() = default;

void request_metrics::observe(
    const workspace_id& workspace,
    request_class priority,
    request_time what,
    duration taken)
{
    auto known = this->histograms->find(workspace.str());
    if (!known)
    {
        known = this->histograms->add(workspace.str());
    }
    auto& seen = known->times.at(static_cast<std::size_t>(priority))
                     .at(static_cast<std::size_t>(what));
    seen.seconds(std::chrono::duration<double>{taken}.count());
    seen.sum_us.fetch_add(
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(taken)
                .count()),
        std::memory_order_relaxed);
}

void request_metrics::count(request_event what)
{
    this->counters.at(static_cast<std::size_t>(what))
        .fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t request_metrics::counted(request_event what) const
{
    return this->counters.at(static_cast<std::size_t>(what))
        .load(std::memory_order_relaxed);
}

std::string request_metrics::to_prometheus() const
{
    std::string out;
    for (std::size_t i = 0; i < request_events; ++i)
    {
        fmt::format_to(
            std::back_inserter(out),
            "fireflysail_request_events_total{{event=\"{}\"}} {}\n",
            event_names.at(i),
            this->counters.at(i).load(std::memory_order_relaxed));
    }
    const auto known = this->histograms->by_workspace.load();
    for (std::size_t what = 0; what < request_times; ++what)
    {
        fmt::format_to(
            std::back_inserter(out),
            "# TYPE fireflysail_{}_seconds histogram\n",
            time_names.at(what));
        for (const auto& [name, shown] : *known)
        {
            for (std::size_t i = 0; i < classes; ++i)
            {
                print_histogram(
                    out,
                    time_names.at(what),
                    fmt::format(
                        "workspace=\"{}\",class=\"{}\"",
                        escape_label(name),
                        class_names.at(i)),
                    shown->times.at(i).at(what));
            }
        }
    }
    return out;
}

} // namespace fireflysail
