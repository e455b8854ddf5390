#include "control/in_force.hpp"

#include "control/entry_editor.hpp"
#include "control/fleet_controller.hpp"
#include "control/lists_controller.hpp"
#include "simulation/event_loop.hpp"
#include "store/watch_hub.hpp"
#include "store_model.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;

constexpr auto run_time = 300s;
constexpr auto edit_interval = 1s;
constexpr int workspaces = 50;
/// Lets some watches fall on a connection that answers nothing.
class silent_at_times final : public store
{
public:
    silent_at_times(store& inner, std::mt19937_64& random, double silent_chance)
        : inner{inner}
        , random{random}
        , silent_chance{silent_chance}
    {
    }

    result<stored_object>
    get(const object_key& key, time_point deadline) override
    {
        return this->inner.get(key, deadline);
    }

    result<store_snapshot>
    list(const std::vector<std::string>& kinds, time_point deadline) override
    {
        return this->inner.list(kinds, deadline);
    }

    result<revision> create(
        const object_key& key,
        const std::string& value,
        time_point deadline) override
    {
        return this->inner.create(key, value, deadline);
    }

    result<revision> update(
        const object_key& key,
        const std::string& value,
        revision expected,
        time_point deadline) override
    {
        return this->inner.update(key, value, expected, deadline);
    }

    result<revision> remove(
        const object_key& key, revision expected, time_point deadline) override
    {
        return this->inner.remove(key, expected, deadline);
    }

    result<watch_batch> watch(
        const std::vector<std::string>& kinds,
        revision from,
        time_point deadline) override
    {
        if (std::bernoulli_distribution{this->silent_chance}(this->random))
        {
            this->silent_until = deadline;
            return errc::unavailable;
        }
        return this->inner.watch(kinds, from, deadline);
    }

    /// When the last silent watch is given up.
    time_point silent_until;

private:
    store& inner;
    std::mt19937_64& random;
    double silent_chance;
};

struct instance
{
    instance(
        store& objects,
        std::mt19937_64& random,
        const clock& time,
        double silent_chance)
        : source{objects, random, silent_chance}
        , hub{source, {&fleet, &lists}, time, {}, random()}
    {
    }

    silent_at_times source;
    snapshot_cell<fleet_snapshot> fleet_cell;
    snapshot_cell<lists_snapshot> lists_cell;
    fleet_controller fleet{fleet_cell};
    lists_controller lists{lists_cell};
    watch_hub hub;
    std::size_t edits_seen = 0;
};

struct accepted_edit
{
    revision version;
    time_point when;
};

class in_force_run
{
public:
    in_force_run(int instances, double silent_chance, std::uint64_t seed)
        : random{seed}
        , objects{loop.time()}
    {
        for (int index = 0; index < instances; ++index)
        {
            this->all.push_back(std::make_unique<instance>(
                this->objects, this->random, this->loop.time(), silent_chance));
            this->loop.after(
                random_duration(1s, this->random),
                [this, index]
                {
                    this->step(*this->all.at(index));
                });
        }
        this->loop.after(
            5s,
            [this]
            {
                this->edit();
            });
    }

    std::vector<duration> measure()
    {
        this->loop.run_until(time_point{} + run_time);
        std::ranges::sort(this->delays);
        return this->delays;
    }

private:
    void step(instance& one)
    {
        auto due = one.hub.step();
        const auto position = one.hub.status().position;
        while (one.edits_seen < this->accepted.size() &&
               this->accepted[one.edits_seen].version <= position)
        {
            this->delays.push_back(
                this->loop.now() - this->accepted[one.edits_seen].when);
            ++one.edits_seen;
        }
        due = std::max(due, one.source.silent_until);
        this->loop.at(
            std::max(due, this->loop.now() + 1ms),
            [this, &one]
            {
                this->step(one);
            });
    }

    void edit()
    {
        const auto id = fmt::format("e{}", this->edits++);
        const auto outcome = this->editor.set(
            entry_kind::entitlement,
            fmt::format("plan-{}", this->edits % workspaces),
            R"({"requests_per_second":1,"tokens_per_second":1,)"
            R"("concurrency":1})",
            {edit_id{id}, "operator", office_id{"office"}, {}, true});
        if (const auto* made = std::get_if<edit_accepted>(&outcome))
        {
            this->accepted.push_back({made->version, this->loop.now()});
        }
        this->loop.after(
            random_duration(2 * edit_interval, this->random),
            [this]
            {
                this->edit();
            });
    }

    simulation::event_loop loop;
    std::mt19937_64 random;
    store_model objects;
    entry_editor editor{objects, loop.time()};
    std::vector<std::unique_ptr<instance>> all;
    std::vector<accepted_edit> accepted;
    std::vector<duration> delays;
    int edits = 0;
};

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

struct in_force_case
{
    int instances = 0;
    /// Chance that a watch falls on a connection that has gone silent.
    double silent_chance = 0;
    /// Worst time allowed; the users state it for a healthy store.
    std::optional<bound> limit;
};

void measure_case(
    bench_report& report, const in_force_case& wanted, std::uint64_t seed)
{
    const auto delays =
        in_force_run{wanted.instances, wanted.silent_chance, seed}.measure();
    const auto name = fmt::format(
        "in force on {} instances, {} of watches silent",
        wanted.instances,
        wanted.silent_chance);
    report.add(
        {name + ": median",
         seconds(delays.at(delays.size() / 2)),
         "s",
         std::nullopt,
         std::nullopt,
         seed});
    report.add(
        {name + ": worst",
         seconds(delays.back()),
         "s",
         std::nullopt,
         wanted.limit,
         seed});
}

} // namespace

void measure_in_force(bench_report& report, std::uint64_t seed)
{
    const bound today{bound_kind::at_most, 3};
    const bound in_two_years{bound_kind::at_most, 13};
    measure_case(report, {9, 0, today}, seed);
    measure_case(report, {390, 0, in_two_years}, seed);
    measure_case(report, {9, 0.01, std::nullopt}, seed);
    measure_case(report, {390, 0.01, in_two_years}, seed);
}

} // namespace fireflysail::benchmarks
