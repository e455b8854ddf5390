#pragma once

#include "common/clock.hpp"
#include "routing/route_table.hpp"
#include "routing/service_times.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace fireflysail
{

enum class service_state : std::uint8_t
{
    in_service,
    /// Readmitted after an ejection with a small part of its work, until it is
    /// evaluated again.
    on_probation,
    ejected,
};

/// State of every engine, read by request threads. Lock-free, with a single
/// writer.
class service_states
{
public:
    explicit service_states(std::size_t capacity = max_engine_slots);

    void set(engine_slot slot, service_state state);

    service_state get(engine_slot slot) const;

private:
    std::vector<std::atomic<service_state>> states;
};

/// Outlier ejection: takes engines that are much slower than comparable ones,
/// or that fail, out of service for a limited time. Evaluated periodically by
/// one thread.
class ejector
{
public:
    /// Evaluates every engine of the table by its learned service times and
    /// failures. Returns true if the set of ejected engines changed, so that
    /// routes must be planned again.
    bool evaluate(
        const route_table& table,
        service_times& times,
        service_states& states,
        time_point now);

    /// Engines to exclude from the plan.
    const absl::flat_hash_set<server_id>& ejected() const;

private:
    struct record
    {
        service_state state = service_state::in_service;
        int strikes = 0;
        int clean_evaluations = 0;
        int ejections = 0;
        time_point until{};
    };

    struct suspect
    {
        server_id server;
        engine_slot slot;
        double severity = 0;
    };

    void evaluate_set(
        const route_set& set,
        const service_times& times,
        time_point now,
        std::vector<suspect>& suspects);
    void evaluate_engine(
        const graph_engine& holder,
        const learned_service& learned,
        double slowness,
        std::vector<suspect>& suspects);
    bool readmit_expired(
        const route_table& table,
        service_times& times,
        service_states& states,
        time_point now);
    bool may_eject(const route_set& set, const suspect& candidate) const;
    void eject(const suspect& candidate, time_point now);

    absl::flat_hash_map<server_id, record> records;
    absl::flat_hash_set<server_id> ejected_servers;
};

} // namespace fireflysail
