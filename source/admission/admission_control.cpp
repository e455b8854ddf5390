#include "admission/admission_control.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

// An instance decides a few requests a second; planning more often changes no
// decision.
constexpr duration plan_interval = 50ms;
constexpr duration prediction_step = 50ms;
constexpr duration default_duration = 3s;

// A prediction of 2 s at the beginning of a burst brought the refused back into
// it: up to 0.13 of them were refused twice in bursts of 5 s, 0.04 with 3 s.
constexpr double min_overload_seconds = 3;

// Counts of a workspace over some tenths of a second vary by a quarter, and
// callers that come back add to them.
constexpr double usual_headroom = 1.5;

// Weight of one refusal in the mean of the waits named.
constexpr double wait_weight = 0.1;
// Callers with little time left are told to come back at once.
constexpr double min_mean_wait = 0.1;

// Time constant of the correction of completions. With 5 s, the streams
// admitted at the onset of an overload ended together unnoticed, and the use of
// the capacity fell to 0.82 at four times the capacity; with 1 s, to 0.92.
constexpr double completion_seconds = 1;
// Bounds the error if the counts miss requests that end without an answer.
constexpr double max_completion_factor = 1.5;
// Fewer completions per second are too few to correct by.
constexpr double min_completions = 5;

// A net drain below this share of the completions predicts no useful time.
constexpr double min_drain_share = 0.02;

double sum(const by_rank& amounts)
{
    return std::accumulate(amounts.begin(), amounts.end(), 0.0);
}

bool is_usable(const service_load& load)
{
    return std::isfinite(load.in_flight) && std::isfinite(load.capacity) &&
           load.capacity > 0 && std::isfinite(sum(load.arrivals)) &&
           std::isfinite(sum(load.refused)) &&
           std::ranges::all_of(
               load.arrivals,
               [](double rate)
               {
                   return rate >= 0;
               });
}

std::size_t index_of(std::uint32_t rank)
{
    return std::min<std::size_t>(rank, admission_rank_count - 1);
}

} // namespace

admission_control::admission_control(const options& chosen)
    : chosen{chosen}
{
}

admission_decision admission_control::decide(
    const service_id& service,
    const admission_request& request,
    const service_load* load,
    time_point now,
    std::mt19937_64& random)
{
    if (load == nullptr || request.resumes || !is_usable(*load) ||
        now - load->measured_at > this->chosen.max_view_age)
    {
        return admitted{};
    }
    this->update(service, *load, now);
    service_state& state = this->services[service];
    std::uniform_real_distribution<double> draw;
    if (draw(random) < this->share_of(state, request))
    {
        return admitted{};
    }
    const duration wait = this->retry_after(
        this->predict_wait(state, index_of(request.rank), now),
        request.time_left,
        random);
    state.mean_wait += wait_weight * (to_seconds(wait) - state.mean_wait);
    return refused{wait};
}

void admission_control::update(
    const service_id& service, const service_load& load, time_point now)
{
    if (!is_usable(load) || now - load.measured_at > this->chosen.max_view_age)
    {
        return;
    }
    service_state& state = this->services[service];
    const bool is_new =
        !state.load || state.load->measured_at != load.measured_at;
    if (is_new)
    {
        this->take_load(state, load);
    }
    if (is_new || now - state.planned_at >= plan_interval)
    {
        this->make_plan(state, now);
    }
}

void admission_control::set_workspace_demand(
    const service_id& service, std::vector<workspace_arrivals> largest)
{
    service_state& state = this->services[service];
    state.largest = std::move(largest);
    std::erase_if(
        state.largest,
        [](const workspace_arrivals& workspace)
        {
            return !std::isfinite(workspace.per_second) ||
                   workspace.per_second < 0;
        });
    // The means are updated with the next view.
    for (workspace_arrivals& workspace : state.largest)
    {
        const auto usual = state.usual_workspaces.find(workspace.workspace);
        if (usual != state.usual_workspaces.end())
        {
            workspace.usual_per_second =
                usual_headroom * usual->second.per_second;
        }
    }
}

std::optional<admission_state>
admission_control::state(const service_id& service, time_point now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.load ||
        now - found->second.load->measured_at > this->chosen.max_view_age)
    {
        return std::nullopt;
    }
    const service_state& state = found->second;
    admission_state result{
        .occupancy = state.in_flight / state.load->capacity,
        .admitted_share = state.admitted_share,
        .cutoff = std::nullopt};
    const auto first = std::ranges::find_if(
        state.admitted_share,
        [](double share)
        {
            return share < 1;
        });
    if (first != state.admitted_share.end())
    {
        result.cutoff =
            static_cast<std::uint32_t>(first - state.admitted_share.begin());
    }
    return result;
}

void admission_control::take_load(
    service_state& state, const service_load& load) const
{
    // Rates say nothing about the time before a gap in the views.
    const duration since = state.load
                               ? load.measured_at - state.load->measured_at
                               : duration::zero();
    const bool follows =
        since > duration::zero() && since <= this->chosen.max_view_age;
    const double elapsed = follows ? to_seconds(since) : 0;
    if (!state.load)
    {
        state.usual_arrivals = load.arrivals;
    }
    const double usual_weight =
        1 - std::exp(-elapsed / to_seconds(this->chosen.usual_arrivals_time));
    const double returned =
        1 - std::exp(-elapsed / std::max(state.mean_wait, min_mean_wait));
    for (std::size_t rank = 0; rank < admission_rank_count; ++rank)
    {
        state.usual_arrivals[rank] +=
            usual_weight * (load.arrivals[rank] - state.usual_arrivals[rank]);
        state.awaited[rank] +=
            load.refused[rank] * elapsed - state.awaited[rank] * returned;
    }
    if (follows)
    {
        this->correct_completions(state, load, elapsed);
    }
    this->take_workspaces(state, elapsed);
    state.load = load;
}

/// Until its time constant has passed, the mean of a workspace is over the time
/// since it was first listed. One that enters the list was at most as large as
/// the smallest listed before.
void admission_control::take_workspaces(
    service_state& state, double elapsed) const
{
    double largest_new = std::numeric_limits<double>::infinity();
    for (const auto& [workspace, usual] : state.usual_workspaces)
    {
        largest_new = std::min(largest_new, usual.per_second);
    }
    absl::btree_map<demand_key, usual_rate> means;
    for (workspace_arrivals& workspace : state.largest)
    {
        const auto before = state.usual_workspaces.find(workspace.workspace);
        usual_rate usual =
            before != state.usual_workspaces.end()
                ? before->second
                : usual_rate{
                      std::min(workspace.per_second, largest_new), elapsed};
        usual.seconds = std::min(
            usual.seconds + elapsed,
            to_seconds(this->chosen.usual_workspace_time));
        if (usual.seconds > 0)
        {
            usual.per_second += (workspace.per_second - usual.per_second) *
                                std::min(elapsed / usual.seconds, 1.0);
        }
        workspace.usual_per_second = usual_headroom * usual.per_second;
        means[workspace.workspace] = usual;
    }
    state.usual_workspaces = std::move(means);
}

/// The streams that ended between two views follow from the admissions and the
/// change of the streams in flight. Without this correction, a mean duration
/// that is wrong by 0.3 moved the occupancy by up to 0.2.
void admission_control::correct_completions(
    service_state& state, const service_load& load, double elapsed) const
{
    const double expected = this->completions(
        state, load, (state.load->in_flight + load.in_flight) / 2);
    if (expected < min_completions)
    {
        return;
    }
    const double measured = sum(load.arrivals) - sum(load.refused) -
                            (load.in_flight - state.load->in_flight) / elapsed;
    const double weight = std::min(elapsed / completion_seconds, 1.0);
    state.completion_factor = std::clamp(
        state.completion_factor * (1 + weight * (measured / expected - 1)),
        1 / max_completion_factor,
        max_completion_factor);
}

/// Streams that end per second.
double admission_control::completions(
    const service_state& state,
    const service_load& load,
    double in_flight) const
{
    const duration mean = load.mean_duration > duration::zero()
                              ? load.mean_duration
                              : default_duration;
    return state.completion_factor * std::min(in_flight, load.capacity) /
           to_seconds(mean);
}

/// A view is some tenths of a second old. The streams admitted since follow
/// from the shares that this instance applied, as all instances apply the same.
double admission_control::predict_in_flight(
    const service_state& state, time_point now) const
{
    const service_load& load = *state.load;
    double in_flight = load.in_flight;
    auto past = state.history.begin();
    for (time_point at = load.measured_at; at < now; at += prediction_step)
    {
        while (past != state.history.end() &&
               std::next(past) != state.history.end() &&
               std::next(past)->from <= at)
        {
            ++past;
        }
        double admitted_rate = sum(load.arrivals);
        if (past != state.history.end() && past->from <= at)
        {
            admitted_rate = std::inner_product(
                load.arrivals.begin(),
                load.arrivals.end(),
                past->admitted_share.begin(),
                0.0);
        }
        const double step =
            to_seconds(std::min<duration>(prediction_step, now - at));
        in_flight +=
            (admitted_rate - this->completions(state, load, in_flight)) * step;
    }
    return std::max(in_flight, 0.0);
}

void admission_control::make_plan(service_state& state, time_point now) const
{
    const service_load& load = *state.load;
    state.planned_at = now;
    state.in_flight = this->predict_in_flight(state, now);
    const double arrivals = sum(load.arrivals);
    const double completed = this->completions(state, load, state.in_flight);
    const double room =
        this->chosen.target_occupancy * load.capacity - state.in_flight;
    const double budget = std::max(
        completed + room / to_seconds(this->chosen.correction_time),
        completed * this->chosen.min_admission);
    const bool refuses =
        state.in_flight >= this->chosen.min_occupancy * load.capacity &&
        arrivals > budget;
    const double served = refuses ? budget / arrivals : 1;
    state.floor =
        refuses ? this->chosen.min_share * std::min(completed / arrivals, 1.0)
                : 1;
    state.workspaces =
        share_by_workspace(state.largest, load.arrivals, served, state.floor);
    state.admitted_share = share_by_rank(load.arrivals, served, state.floor);
    if (!refuses)
    {
        state.refusing_since.reset();
    }
    else if (!state.refusing_since)
    {
        state.refusing_since = now;
    }
    while (state.history.size() > 1 &&
           state.history[1].from < now - this->chosen.max_view_age)
    {
        state.history.pop_front();
    }
    state.history.push_back({now, state.admitted_share});
}

double admission_control::share_of(
    const service_state& state, const admission_request& request) const
{
    const demand_key key = workspace_key(request.workspace.str());
    const auto listed = state.workspaces.listed.find(key);
    const double served = listed == state.workspaces.listed.end()
                              ? state.workspaces.others
                              : listed->second;
    const auto found =
        std::ranges::find(state.largest, key, &workspace_arrivals::workspace);
    if (found != state.largest.end() && found->rank)
    {
        return served;
    }
    return share_by_rank(
        state.load->arrivals, served, state.floor)[index_of(request.rank)];
}

/// Seconds until the load is expected to leave room for the rank: an overload
/// is expected to last as long as it has lasted; after it, the streams above
/// the target end and the callers that were refused are served, at the usual
/// load. Nothing if the usual load leaves no room.
std::optional<double> admission_control::predict_wait(
    const service_state& state, std::size_t rank, time_point now) const
{
    const service_load& load = *state.load;
    const double target = this->chosen.target_occupancy * load.capacity;
    const double completed = this->completions(state, load, target);
    const double lasted = std::max(
        min_overload_seconds,
        state.refusing_since ? to_seconds(now - *state.refusing_since) : 0);
    double drain = completed;
    double excess = std::max(state.in_flight - target, 0.0);
    for (std::size_t urgent = 0; urgent <= rank; ++urgent)
    {
        drain -= state.usual_arrivals[urgent];
        excess += state.awaited[urgent] + load.refused[urgent] * lasted;
    }
    if (drain < completed * min_drain_share)
    {
        return std::nullopt;
    }
    return lasted + excess / drain;
}

duration admission_control::retry_after(
    std::optional<double> wait,
    duration time_left,
    std::mt19937_64& random) const
{
    const double longest =
        std::max(to_seconds(time_left) * this->chosen.max_retry_share, 0.0);
    const double shortest =
        std::min(to_seconds(this->chosen.min_retry_after), longest);
    // The spread is as wide as the wait, so that those refused together do not
    // come back together.
    const double from = std::clamp(
        wait.value_or(longest), shortest, std::max(longest / 2, shortest));
    const double to = std::min(2 * from, longest);
    std::uniform_real_distribution<double> draw{0, 1};
    return from_seconds(std::lerp(from, to, draw(random)));
}

} // namespace fireflysail
