#include "routing/pipeline_stall_detector.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

/// Weight of one gap in the average, which settles after a few dozen events of
/// any streams.
constexpr double gap_smoothing = 0.05;

} // namespace

pipeline_stall_detector::pipeline_stall_detector(const options& chosen)
    : chosen{chosen}
{
}

run_id pipeline_stall_detector::begin(
    std::uint64_t pipeline,
    const std::vector<server_id>& stages,
    time_point now)
{
    const run_id id{++this->last_id};
    this->runs.emplace(id, run{pipeline, stages, now, false});
    return id;
}

void pipeline_stall_detector::suspect(const server_id& engine, time_point now)
{
    absl::erase_if(
        this->suspected_until,
        [now](const auto& item)
        {
            return item.second <= now;
        });
    for (const auto& [id, entry] : this->runs)
    {
        if (std::ranges::find(entry.stages, engine) != entry.stages.end())
        {
            this->suspected_until[entry.pipeline] =
                now + this->chosen.suspicion_duration;
        }
    }
}

bool pipeline_stall_detector::is_suspected(
    std::uint64_t pipeline, time_point now) const
{
    const auto found = this->suspected_until.find(pipeline);
    return found != this->suspected_until.end() && now < found->second;
}

void pipeline_stall_detector::on_event(run_id id, time_point now)
{
    const auto found = this->runs.find(id);
    if (found == this->runs.end())
    {
        return;
    }
    run& entry = found->second;
    if (entry.has_events)
    {
        const double gap =
            std::chrono::duration<double>{now - entry.last_event}.count();
        double& mean = this->mean_gap[entry.pipeline];
        mean += gap_smoothing * (gap - mean);
    }
    entry.last_event = now;
    entry.has_events = true;
}

duration pipeline_stall_detector::timeout_of(
    std::uint64_t pipeline, duration shortest) const
{
    const auto found = this->mean_gap.find(pipeline);
    if (found == this->mean_gap.end())
    {
        return shortest;
    }
    return std::max(
        shortest,
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{
            found->second * this->chosen.gap_factor}));
}

void pipeline_stall_detector::end(run_id id)
{
    this->runs.erase(id);
}

bool pipeline_stall_detector::empty() const
{
    return this->runs.empty();
}

std::vector<run_id> pipeline_stall_detector::stalled_runs(time_point now) const
{
    struct summary
    {
        std::size_t active = 0;
        time_point last_event;
        time_point first_begun = time_point::max();
    };
    absl::flat_hash_map<std::uint64_t, summary> pipelines;
    for (const auto& [id, entry] : this->runs)
    {
        summary& of = pipelines[entry.pipeline];
        if (entry.has_events)
        {
            ++of.active;
            of.last_event = std::max(of.last_event, entry.last_event);
        }
        else
        {
            of.first_begun = std::min(of.first_begun, entry.last_event);
        }
    }
    const auto is_stalled =
        [this, now](std::uint64_t pipeline, const summary& of)
    {
        const bool suspected = this->is_suspected(pipeline, now);
        if (of.active == 0)
        {
            return now - of.first_begun >=
                   (suspected ? this->chosen.suspected_first_event_timeout
                              : this->chosen.first_event_timeout);
        }
        const duration shortest =
            suspected || of.active >= this->chosen.many_streams
                ? this->chosen.many_streams_timeout
                : this->chosen.few_streams_timeout;
        return now - of.last_event >= this->timeout_of(pipeline, shortest);
    };
    std::vector<run_id> found;
    for (const auto& [id, entry] : this->runs)
    {
        // The first event of a run that has just begun may still be underway.
        const bool waited =
            now - entry.last_event >= this->chosen.many_streams_timeout;
        if (waited && is_stalled(entry.pipeline, pipelines.at(entry.pipeline)))
        {
            found.push_back(id);
        }
    }
    return found;
}

} // namespace fireflysail
