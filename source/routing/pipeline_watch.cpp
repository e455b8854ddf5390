#include "routing/pipeline_watch.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

/// Weight of one gap in the average, which settles after a few dozen events of
/// any streams.
constexpr double gap_smoothing = 0.05;

} // namespace

pipeline_watch::pipeline_watch(const options& chosen)
    : chosen{chosen}
{
}

run_id pipeline_watch::begin(
    std::uint64_t pipeline,
    const std::vector<server_id>& stages,
    time_point now)
{
    const run_id id{++this->last_id};
    this->runs.emplace(id, run{pipeline, stages, now, false});
    return id;
}

void pipeline_watch::doubt(const server_id& engine, time_point now)
{
    absl::erase_if(
        this->doubted_until,
        [now](const auto& item)
        {
            return item.second <= now;
        });
    for (const auto& [id, entry] : this->runs)
    {
        if (std::ranges::find(entry.stages, engine) != entry.stages.end())
        {
            this->doubted_until[entry.pipeline] = now + this->chosen.doubt;
        }
    }
}

bool pipeline_watch::is_doubted(std::uint64_t pipeline, time_point now) const
{
    const auto found = this->doubted_until.find(pipeline);
    return found != this->doubted_until.end() && now < found->second;
}

void pipeline_watch::on_event(run_id id, time_point now)
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
        double& usual = this->usual_gap[entry.pipeline];
        usual += gap_smoothing * (gap - usual);
    }
    entry.last_event = now;
    entry.has_events = true;
}

duration
pipeline_watch::bound_of(std::uint64_t pipeline, duration shortest) const
{
    const auto found = this->usual_gap.find(pipeline);
    if (found == this->usual_gap.end())
    {
        return shortest;
    }
    return std::max(
        shortest,
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{
            found->second * this->chosen.usual_gaps}));
}

void pipeline_watch::end(run_id id)
{
    this->runs.erase(id);
}

bool pipeline_watch::empty() const
{
    return this->runs.empty();
}

std::vector<run_id> pipeline_watch::silent(time_point now) const
{
    struct summary
    {
        std::size_t going = 0;
        time_point last_event;
        time_point first_begun = time_point::max();
    };
    absl::flat_hash_map<std::uint64_t, summary> pipelines;
    for (const auto& [id, entry] : this->runs)
    {
        summary& of = pipelines[entry.pipeline];
        if (entry.has_events)
        {
            ++of.going;
            of.last_event = std::max(of.last_event, entry.last_event);
        }
        else
        {
            of.first_begun = std::min(of.first_begun, entry.last_event);
        }
    }
    const auto is_silent =
        [this, now](std::uint64_t pipeline, const summary& of)
    {
        const bool doubted = this->is_doubted(pipeline, now);
        if (of.going == 0)
        {
            return now - of.first_begun >=
                   (doubted ? this->chosen.doubted_first_event_silence
                            : this->chosen.first_event_silence);
        }
        const duration shortest = doubted || of.going >= this->chosen.crowd
                                      ? this->chosen.crowd_silence
                                      : this->chosen.lone_silence;
        return now - of.last_event >= this->bound_of(pipeline, shortest);
    };
    std::vector<run_id> found;
    for (const auto& [id, entry] : this->runs)
    {
        // The first event of a run that has just begun may still be underway.
        const bool waited =
            now - entry.last_event >= this->chosen.crowd_silence;
        if (waited && is_silent(entry.pipeline, pipelines.at(entry.pipeline)))
        {
            found.push_back(id);
        }
    }
    return found;
}

} // namespace fireflysail
