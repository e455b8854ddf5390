#include "control/lists_join.hpp"

#include "control/lists_codec.hpp"
#include "simulation/event_loop.hpp"
#include "store/store_watcher.hpp"
#include "store_model.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;

constexpr int instances = 390;
constexpr int workspaces = 200;
constexpr auto run_time = 60s;
constexpr auto settling_time = 5s;
constexpr auto edit_interval = 200ms;
/// An instance loses its connection and reads anew this often on average.
constexpr auto reconnect_interval = 20s;

enum class joining
{
    /// Read both lists at one revision, watch from exactly there.
    at_one_revision,
    /// Read, then watch from whatever is newest by then.
    read_then_watch,
    /// Watch first, read, then apply everything watched.
    watch_then_read,
    /// Each list read and watched by itself, each from its own revision.
    a_stream_for_each_list,
};

struct tally
{
    /// Changes that no answer contained.
    std::uint64_t lost = 0;
    /// Objects that were older than the store's at the end of the run.
    std::uint64_t behind = 0;
    /// Changes that were applied over themselves or over newer ones.
    std::uint64_t repeated = 0;
    /// Workspaces seen on a plan that was not to be seen yet, over all samples.
    std::uint64_t half_seen = 0;
    double reads_per_second = 0;
};

/// What one instance knows: the version of each object, and the plan that each
/// workspace is on.
class view
{
public:
    void load(const store_snapshot& snapshot)
    {
        for (const auto& object : snapshot.objects)
        {
            this->objects[object.key] = object;
        }
    }

    void apply(const watch_batch& batch, tally& counts)
    {
        for (const auto& event : batch.events)
        {
            auto& held = this->objects[event.object.key];
            counts.repeated += event.object.version <= held.version ? 1 : 0;
            held = event.object;
        }
    }

    /// Workspaces whose plan is not known yet.
    std::uint64_t half_seen() const
    {
        const auto lacks_plan = [this](const auto& item)
        {
            return item.first.kind == plan_kind &&
                   !this->objects.contains(
                       {entitlement_kind, item.second.value});
        };
        return static_cast<std::uint64_t>(
            std::ranges::count_if(this->objects, lacks_plan));
    }

    std::uint64_t behind(const std::vector<stored_object>& truth) const
    {
        return static_cast<std::uint64_t>(std::ranges::count_if(
            truth,
            [this](const stored_object& object)
            {
                const auto held = this->objects.find(object.key);
                return held == this->objects.end() ||
                       held->second.version < object.version;
            }));
    }

private:
    std::map<object_key, stored_object> objects;
};

/// One stream of an instance: its kinds, and where its watch has got to.
struct stream
{
    std::vector<std::string> kinds;
    revision position;
    std::uint64_t life = 0;
};

class join_run
{
public:
    join_run(joining how, std::uint64_t seed)
        : how{how}
        , random{seed}
        , objects{loop.time()}
        , views(instances)
    {
        this->edit();
        for (int index = 0; index < instances; ++index)
        {
            this->add_streams(index);
        }
        this->sample();
    }

    tally measure()
    {
        this->loop.run_until(time_point{} + run_time);
        this->editing = false;
        this->loop.run_until(time_point{} + run_time + settling_time);
        const auto truth = this->objects.objects();
        for (const auto& one : this->views)
        {
            this->counts.behind += one.behind(truth);
        }
        const auto calls = this->objects.truth().calls;
        const auto reads = calls[static_cast<std::size_t>(store_call::list)] +
                           calls[static_cast<std::size_t>(store_call::watch)];
        const std::chrono::duration<double> length = run_time + settling_time;
        this->counts.reads_per_second =
            static_cast<double>(reads) / length.count();
        return this->counts;
    }

private:
    duration draw(duration longest)
    {
        return random_duration(longest, this->random);
    }

    /// A new plan, and at once a workspace that moves to it.
    void edit()
    {
        if (!this->editing)
        {
            return;
        }
        const auto plan = fmt::format("plan-{}", this->edits++);
        this->write({entitlement_kind, plan}, plan);
        this->write(
            {plan_kind, fmt::format("space-{}", this->edits % workspaces)},
            plan);
        this->loop.after(
            edit_interval,
            [this]
            {
                this->edit();
            });
    }

    void write(const object_key& key, const std::string& value)
    {
        const auto deadline = this->loop.now() + 1s;
        const auto held = this->objects.get(key, deadline);
        if (held)
        {
            (void)this->objects.update(
                key, value, held.value().version, deadline);
            return;
        }
        (void)this->objects.create(key, value, deadline);
    }

    void add_streams(int index)
    {
        if (this->how == joining::a_stream_for_each_list)
        {
            this->start(index, {plan_kind});
            this->start(index, {entitlement_kind});
            return;
        }
        this->start(index, {plan_kind, entitlement_kind});
    }

    void start(int index, std::vector<std::string> kinds)
    {
        auto one = std::make_shared<stream>();
        one->kinds = std::move(kinds);
        this->loop.after(
            this->draw(1s),
            [this, index, one]
            {
                this->read(index, one);
            });
    }

    revision newest() const
    {
        return this->objects.truth().version;
    }

    /// The call, its answer and the first watch after it each take a while.
    void read(int index, const std::shared_ptr<stream>& one)
    {
        const auto life = ++one->life;
        const auto before = this->newest();
        this->loop.after(
            this->draw(100ms),
            [this, index, one, life, before]
            {
                const auto deadline = this->loop.now() + 1s;
                this->arrive(
                    index,
                    one,
                    life,
                    before,
                    this->objects.list(one->kinds, deadline).value());
            });
        this->loop.after(
            reconnect_interval / 2 + this->draw(reconnect_interval),
            [this, index, one]
            {
                this->read(index, one);
            });
    }

    void arrive(
        int index,
        const std::shared_ptr<stream>& one,
        std::uint64_t life,
        revision before,
        const store_snapshot& snapshot)
    {
        this->loop.after(
            this->draw(100ms),
            [this, index, one, life, before, snapshot]
            {
                this->views.at(index).load(snapshot);
                one->position = this->first_position(snapshot, before);
                if (one->position > snapshot.version)
                {
                    this->counts.lost +=
                        one->position.value() - snapshot.version.value();
                }
                this->watch(index, one, life);
            });
    }

    revision
    first_position(const store_snapshot& snapshot, revision before) const
    {
        switch (this->how)
        {
        case joining::read_then_watch:
            return this->newest();
        case joining::watch_then_read:
            return before;
        case joining::at_one_revision:
        case joining::a_stream_for_each_list:
            break;
        }
        return snapshot.version;
    }

    void
    watch(int index, const std::shared_ptr<stream>& one, std::uint64_t life)
    {
        if (life != one->life)
        {
            return;
        }
        const auto batch = this->objects.watch(
            one->kinds, one->position, this->loop.now() + 1s);
        this->views.at(index).apply(batch.value(), this->counts);
        one->position = batch.value().next;
        this->loop.after(
            store_watcher_options{}.watch_interval,
            [this, index, one, life]
            {
                this->watch(index, one, life);
            });
    }

    void sample()
    {
        for (const auto& one : this->views)
        {
            this->counts.half_seen += one.half_seen();
        }
        this->loop.after(
            1s,
            [this]
            {
                this->sample();
            });
    }

    joining how;
    simulation::event_loop loop;
    std::mt19937_64 random;
    store_model objects;
    std::vector<view> views;
    tally counts;
    int edits = 0;
    bool editing = true;
};

std::string name_of(joining how)
{
    switch (how)
    {
    case joining::at_one_revision:
        return "joined at one revision";
    case joining::read_then_watch:
        return "read, then watch";
    case joining::watch_then_read:
        return "watch, then read";
    case joining::a_stream_for_each_list:
        break;
    }
    return "a stream for each list";
}

} // namespace

void measure_lists_join(bench_report& report, std::uint64_t seed)
{
    for (const auto how :
         {joining::at_one_revision,
          joining::read_then_watch,
          joining::watch_then_read,
          joining::a_stream_for_each_list})
    {
        const auto counts = join_run{how, seed}.measure();
        const auto add = [&](const std::string& what, std::uint64_t count)
        {
            std::optional<bound> limit;
            if (how == joining::at_one_revision)
            {
                limit = bound{bound_kind::at_most, 0};
            }
            report.add(
                {name_of(how) + ": " + what,
                 static_cast<double>(count),
                 "count",
                 std::nullopt,
                 limit,
                 seed});
        };
        add("changes lost", counts.lost);
        add("objects behind at the end", counts.behind);
        add("changes repeated", counts.repeated);
        add("half seen", counts.half_seen);
        report.add(
            {name_of(how) + ": store reads",
             counts.reads_per_second,
             "1/s",
             std::nullopt,
             std::nullopt,
             seed});
    }
}

} // namespace fireflysail::benchmarks
