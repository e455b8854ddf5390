#include "store/watch_hub.hpp"

#include "simulation/event_loop.hpp"
#include "store_model.hpp"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>

#include <string>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

constexpr int edit_count = 6000;
constexpr duration edit_interval = 100ms;
/// An edit not seen by then is lost: only a later list can bring it.
constexpr duration in_force_bound = 13s;
/// The history is lost this often, so that followers list again.
constexpr int edits_between_compactions = 300;

const std::vector<std::string> all_kinds{"workspace", "plan", "mark", "lease"};

/// Where the watch after a list begins.
enum class joined_at
{
    list_revision,
    /// At what the store has reached by then, as a watch of "from now" does.
    now,
    /// At the start of the history, to be on the safe side.
    history_start,
};

/// A store whose watches begin elsewhere than asked.
class shifted_store final : public store
{
public:
    shifted_store(store_model& inner, joined_at where)
        : inner{inner}
        , where{where}
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
        this->first_watch = true;
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
        revision begin = from;
        if (std::exchange(this->first_watch, false))
        {
            if (this->where == joined_at::now)
            {
                begin = this->inner.truth().version;
            }
            if (this->where == joined_at::history_start)
            {
                begin = std::min(from, this->start);
            }
        }
        auto batch = this->inner.watch(kinds, begin, deadline);
        if (batch)
        {
            this->repeated += std::ranges::count_if(
                batch.value().events,
                [from](const store_event& event)
                {
                    return event.object.version <= from;
                });
        }
        return batch;
    }

    revision start;
    /// Events that the list had told already; the watcher drops them.
    std::ptrdiff_t repeated = 0;

private:
    store_model& inner;
    const joined_at where;
    bool first_watch = true;
};

/// Counts the edits that it sees; each edit has a name of its own.
class edit_counter final : public store_consumer
{
public:
    edit_counter(std::vector<std::string> kinds, const fireflysail::clock& time)
        : read{std::move(kinds)}
        , time{time}
    {
    }

    std::vector<std::string> kinds() const override
    {
        return this->read;
    }

    void on_snapshot(const store_snapshot& snapshot) override
    {
        for (const stored_object& object : snapshot.objects)
        {
            this->known.emplace(object.key.name, this->time.now());
        }
    }

    void on_events(const watch_batch& batch) override
    {
        for (const store_event& event : batch.events)
        {
            const bool fresh =
                this->known.emplace(event.object.key.name, this->time.now())
                    .second;
            this->doubled += fresh ? 0 : 1;
        }
    }

    const std::vector<std::string> read;
    const fireflysail::clock& time;
    /// When each edit was first seen.
    std::map<std::string, time_point> known;
    int doubled = 0;
};

struct outcome
{
    int lost = 0;
    int doubled = 0;
    std::ptrdiff_t repeated = 0;
    std::uint64_t calls = 0;
};

/// Edits and compactions on virtual time, followed by one watch for all kinds
/// or by one for each.
outcome follow(joined_at where, bool shared)
{
    simulation::event_loop loop;
    store_model objects{loop.time()};
    std::vector<std::unique_ptr<shifted_store>> stores;
    std::vector<std::unique_ptr<edit_counter>> readers;
    std::vector<std::unique_ptr<watch_hub>> hubs;
    std::vector<std::vector<std::string>> groups;
    if (shared)
    {
        groups.push_back(all_kinds);
    }
    else
    {
        std::ranges::transform(
            all_kinds,
            std::back_inserter(groups),
            [](const std::string& kind)
            {
                return std::vector{kind};
            });
    }
    std::function<void(watch_hub&)> run = [&loop, &run](watch_hub& hub)
    {
        loop.at(
            hub.step(),
            [&run, &hub]()
            {
                run(hub);
            });
    };
    for (const auto& kinds : groups)
    {
        stores.push_back(std::make_unique<shifted_store>(objects, where));
        readers.push_back(std::make_unique<edit_counter>(kinds, loop.time()));
        hubs.push_back(std::make_unique<watch_hub>(
            *stores.back(),
            std::vector<store_consumer*>{readers.back().get()},
            loop.time(),
            store_watcher_options{},
            hubs.size() + 1));
        run(*hubs.back());
    }
    const time_point begin = loop.now();
    for (int i = 0; i < edit_count; ++i)
    {
        const auto kind = static_cast<std::size_t>(i) % all_kinds.size();
        objects
            .create({all_kinds[kind], std::to_string(i)}, "x", loop.now() + 1s)
            .value();
        if (i % edits_between_compactions == 0)
        {
            objects.compact();
            const revision start = objects.truth().version;
            std::ranges::for_each(
                stores,
                [start](const auto& one)
                {
                    one->start = start;
                });
        }
        loop.run_until(loop.now() + edit_interval);
    }
    loop.run_until(loop.now() + in_force_bound);

    outcome all;
    int in_time = 0;
    for (const auto& reader : readers)
    {
        in_time += static_cast<int>(std::ranges::count_if(
            reader->known,
            [begin](const auto& seen)
            {
                const auto written =
                    begin + std::stoi(seen.first) * edit_interval;
                return seen.second <= written + in_force_bound;
            }));
        all.doubled += reader->doubled;
    }
    all.lost = edit_count - in_time;
    for (const auto& one : stores)
    {
        all.repeated += one->repeated;
    }
    const store_call_counts calls = objects.truth().calls;
    all.calls = calls[static_cast<std::size_t>(store_call::list)] +
                calls[static_cast<std::size_t>(store_call::watch)];
    return all;
}

void print(const char* name, const outcome& one)
{
    WARN(fmt::format(
        "{}: {} of {} edits lost, {} told twice and dropped, {} passed on "
        "twice, {} calls",
        name,
        one.lost,
        edit_count,
        one.repeated,
        one.doubled,
        one.calls));
}

} // namespace

TEST_CASE("a watch from the list's revision loses and doubles no edit")
{
    const outcome joined = follow(joined_at::list_revision, true);
    print("shared, from the list's revision", joined);
    CHECK(joined.lost == 0);
    CHECK(joined.doubled == 0);

    const outcome from_now = follow(joined_at::now, true);
    print("shared, from now", from_now);
    CHECK(from_now.lost > 0);

    const outcome from_start = follow(joined_at::history_start, true);
    print("shared, from the start of the history", from_start);
    CHECK(from_start.lost == 0);
    CHECK(from_start.repeated > 0);
    CHECK(from_start.doubled == 0);

    const outcome separate = follow(joined_at::list_revision, false);
    print("a watch for each kind, from the list's revision", separate);
    CHECK(separate.lost == 0);
    CHECK(joined.calls * 3 < separate.calls);
}
