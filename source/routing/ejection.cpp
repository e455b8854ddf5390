#include "routing/ejection.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Hysteresis: an engine is slow above the first multiple of the median of
/// comparable engines, and recovered only below the second.
constexpr double slow_factor = 2.0;
constexpr double recovered_factor = 1.5;

constexpr double failing_rate = 0.5;

/// Minimum number of samples before an engine is evaluated.
constexpr std::uint32_t min_samples = 8;

/// Consecutive evaluations required for a change of state.
constexpr int strikes_to_eject = 3;
constexpr int clean_to_restore = 3;

/// Maximum fraction of the holders of a layer that may be ejected at the same
/// time.
constexpr double max_ejected_share = 0.25;

constexpr duration initial_ejection = 10s;
constexpr duration max_ejection = 300s;

/// If the last sample is older than this, the learned values no longer describe
/// the engine.
constexpr duration sample_lifetime = 30s;

stage as_stage(const graph_engine& holder)
{
    stage part;
    part.slot = holder.slot;
    part.server_key = holder.server_key;
    part.layers = holder.layers;
    return part;
}

bool has_fresh_samples(const learned_service& learned, time_point now)
{
    return learned.samples >= min_samples &&
           now - learned.last_sample < sample_lifetime;
}

/// Ratio of the measured step time of an engine to the expected one.
double slowness_of(const graph_engine& holder, const learned_service& learned)
{
    return static_cast<double>(learned.layer_time.count()) /
           static_cast<double>(
               std::max<duration::rep>(1, holder.layer_time.count()));
}

double median(std::vector<double> values)
{
    if (values.empty())
    {
        return 0;
    }
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

duration ejection_time(int ejections)
{
    const int doublings = std::min(ejections, 5);
    return std::min(max_ejection, initial_ejection * (1 << doublings));
}

} // namespace

service_states::service_states(std::size_t capacity)
    : states(capacity)
{
}

void service_states::set(engine_slot slot, service_state state)
{
    this->states[slot.value()].store(state, std::memory_order_relaxed);
}

service_state service_states::get(engine_slot slot) const
{
    return this->states[slot.value()].load(std::memory_order_relaxed);
}

bool ejector::evaluate(
    const route_table& table,
    service_times& times,
    service_states& states,
    time_point now)
{
    absl::erase_if(
        this->records,
        [&](const auto& entry)
        {
            return !table.slots.contains(entry.first);
        });
    absl::erase_if(
        this->ejected_servers,
        [&](const server_id& server)
        {
            return !table.slots.contains(server);
        });
    bool changed = this->readmit_expired(table, times, states, now);
    for (const auto& [key, set] : table.sets)
    {
        // Every set with an adapter is a subset of the set without one.
        if (!key.adapter.empty())
        {
            continue;
        }
        std::vector<suspect> suspects;
        this->evaluate_set(*set, times, now, suspects);
        std::ranges::sort(suspects, std::ranges::greater{}, &suspect::severity);
        for (const suspect& candidate : suspects)
        {
            if (this->may_eject(*set, candidate))
            {
                this->eject(candidate, now);
                changed = true;
            }
        }
    }
    for (const auto& [server, known] : this->records)
    {
        states.set(table.slots.at(server), known.state);
    }
    return changed;
}

bool ejector::readmit_expired(
    const route_table& table,
    service_times& times,
    service_states& states,
    time_point now)
{
    bool changed = false;
    for (auto& [server, known] : this->records)
    {
        if (known.state == service_state::ejected && known.until <= now)
        {
            known.state = service_state::on_probation;
            known.strikes = strikes_to_eject - 1;
            known.clean_evaluations = 0;
            times.forget(table.slots.at(server));
            states.set(table.slots.at(server), known.state);
            this->ejected_servers.erase(server);
            changed = true;
        }
    }
    return changed;
}

void ejector::evaluate_set(
    const route_set& set,
    const service_times& times,
    time_point now,
    std::vector<suspect>& suspects)
{
    std::vector<double> ratios;
    for (const graph_engine& holder : set.graph.engines)
    {
        const learned_service learned = times.learned(as_stage(holder));
        if (has_fresh_samples(learned, now) &&
            learned.layer_time > duration::zero())
        {
            ratios.push_back(slowness_of(holder, learned));
        }
    }
    const double median_slowness = median(std::move(ratios));
    for (const graph_engine& holder : set.graph.engines)
    {
        const learned_service learned = times.learned(as_stage(holder));
        if (has_fresh_samples(learned, now) &&
            !this->ejected_servers.contains(holder.server))
        {
            const double slowness =
                median_slowness > 0
                    ? slowness_of(holder, learned) / median_slowness
                    : 1;
            this->evaluate_engine(holder, learned, slowness, suspects);
        }
    }
}

void ejector::evaluate_engine(
    const graph_engine& holder,
    const learned_service& learned,
    double slowness,
    std::vector<suspect>& suspects)
{
    record& known = this->records[holder.server];
    const bool failing = learned.failure_rate > failing_rate;
    if (failing || slowness > slow_factor)
    {
        ++known.strikes;
        known.clean_evaluations = 0;
        if (known.strikes >= strikes_to_eject)
        {
            const double severity =
                std::max(slowness, failing ? slow_factor * 2 : 0);
            suspects.push_back({holder.server, holder.slot, severity});
        }
        return;
    }
    if (slowness > recovered_factor)
    {
        return;
    }
    ++known.clean_evaluations;
    if (known.clean_evaluations >= clean_to_restore)
    {
        // Recovery from probation keeps the ejection count, so that a relapse
        // is ejected for longer. The count is reset only after further clean
        // evaluations in service.
        known.ejections =
            known.state == service_state::on_probation ? known.ejections : 0;
        known.state = service_state::in_service;
        known.strikes = 0;
        known.clean_evaluations = 0;
    }
}

bool ejector::may_eject(const route_set& set, const suspect& candidate) const
{
    const stage_graph& graph = set.graph;
    const auto is_candidate = [&](std::size_t e)
    {
        return graph.engines[e].server == candidate.server;
    };
    return std::ranges::all_of(
        graph.holders,
        [&](const std::vector<std::size_t>& holders)
        {
            if (std::ranges::none_of(holders, is_candidate))
            {
                return true;
            }
            // Engines ejected earlier remain in the graph until it is planned
            // again, and still count as holders.
            const auto gone = std::ranges::count_if(
                holders,
                [&](std::size_t e)
                {
                    return this->ejected_servers.contains(
                        graph.engines[e].server);
                });
            return static_cast<double>(gone + 1) <=
                   max_ejected_share * static_cast<double>(holders.size());
        });
}

void ejector::eject(const suspect& candidate, time_point now)
{
    record& known = this->records[candidate.server];
    known.state = service_state::ejected;
    known.until = now + ejection_time(known.ejections);
    ++known.ejections;
    known.strikes = 0;
    known.clean_evaluations = 0;
    this->ejected_servers.insert(candidate.server);
}

const absl::flat_hash_set<server_id>& ejector::ejected() const
{
    return this->ejected_servers;
}

} // namespace fireflysail
