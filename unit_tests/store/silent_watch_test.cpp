#include "common/error.hpp"
#include "store/store_watcher.hpp"
#include "store/view_freshness.hpp"
#include "store/watch_progress.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

constexpr const char* kind = "servers";

constexpr duration tick = 10ms;

/// Answers of the store and messages among instances take this long.
constexpr duration transit = 10ms;

/// Watches are looked through, and end after they were given up, this late.
constexpr duration look_interval = 250ms;

constexpr duration report_interval = 300ms;

/// A change must be in every view this long after the store confirmed it.
constexpr duration bound = 2s;

/// Time after the loss of connections from which on that holds again.
constexpr duration contact = 3s;

freshness_options make_freshness()
{
    freshness_options options;
    options.confirm_interval = bound / 2;
    options.lifetime = bound * 9 / 10;
    options.max_lag = bound / 3 + 300ms;
    return options;
}

store_watcher_options make_watcher()
{
    store_watcher_options options;
    options.list_time = 2s;
    options.watch_time = 15s;
    options.watch_interval = bound / 3;
    options.list_after_failure = true;
    options.relist_spread = 200ms;
    options.retry.first = 100ms;
    options.retry.longest = 1s;
    return options;
}

/// The history of one object, which a copy shows later.
class scripted_history
{
public:
    explicit scripted_history(duration lag)
        : lag{lag}
    {
    }

    void change_at(time_point when)
    {
        this->changes.push_back(when);
    }

    revision read(watch_plan::source from, time_point now) const
    {
        const duration behind =
            from == watch_plan::source::copy ? this->lag : duration::zero();
        const auto seen = std::ranges::count_if(
            this->changes,
            [&](time_point change)
            {
                return change <= now - behind;
            });
        return revision{first + static_cast<std::uint64_t>(seen)};
    }

    static constexpr std::uint64_t first = 10;

private:
    const duration lag;
    std::vector<time_point> changes;
};

/// The loop of one instance around a watch, with calls that take time.
class simulated_instance
{
public:
    using sender = std::function<void(const view_position&, duration age)>;

    simulated_instance(
        const fireflysail::clock& time,
        const scripted_history& history,
        std::size_t rank,
        sender send)
        : time{time}
        , history{history}
        , rank{rank}
        , send{std::move(send)}
        , freshness{time, make_freshness()}
        , watcher{make_watcher(), rank}
    {
        this->freshness.set_rank(rank);
    }

    void step()
    {
        const time_point now = this->time.now();
        if (this->running)
        {
            this->step_watch(now);
        }
        else if (this->listing)
        {
            this->step_list(now);
        }
        else
        {
            this->begin(this->watcher.next(now));
        }
        if (now >= this->next_report)
        {
            this->report();
        }
    }

    void on_report(const view_position& view, std::size_t from, duration age)
    {
        const bool counts = from < this->rank;
        this->freshness.on_report(
            view, counts ? std::optional{age} : std::nullopt);
    }

    void lose_connection()
    {
        this->is_silent = this->running || this->listing;
    }

    revision seen() const
    {
        return this->progress.position().newest_change;
    }

    std::size_t calls = 0;

private:
    void begin(const store_watcher::command& what)
    {
        if (const auto* list = std::get_if<store_watcher::list_now>(&what))
        {
            this->listing = this->time.now() + transit;
            this->read_began = this->time.now();
            this->deadline = list->deadline;
            ++this->calls;
        }
        if (const auto* watch = std::get_if<store_watcher::watch_now>(&what))
        {
            this->running = running_watch{
                this->freshness.plan(watch->from),
                watch->from,
                this->time.now()};
            this->read_began = this->running->since;
            this->deadline =
                this->running->since + this->running->plan.longest + 500ms;
            ++this->calls;
        }
        this->given_up.reset();
        this->is_silent = false;
    }

    void step_list(time_point now)
    {
        if (now >= this->deadline)
        {
            this->listing.reset();
            this->watcher.on_listed(errc::unavailable, now);
            return;
        }
        if (this->is_silent || now < *this->listing)
        {
            return;
        }
        this->listing.reset();
        const revision version =
            this->history.read(watch_plan::source::store, now);
        const auto snapshot = this->watcher.on_listed(
            store_snapshot{version, {{{kind, "a"}, "", version}}}, now);
        if (snapshot)
        {
            this->has_read_store = true;
            this->progress.on_snapshot(*snapshot);
        }
    }

    void step_watch(time_point now)
    {
        const bool looks = now.time_since_epoch() % look_interval == 0ms;
        if (looks && !this->given_up &&
            this->freshness.find_defect(*this->running))
        {
            this->given_up = now;
        }
        const bool ends =
            this->given_up && now >= *this->given_up + look_interval;
        if (ends || now >= this->deadline)
        {
            this->running.reset();
            this->watcher.on_watched(errc::unavailable, now);
            return;
        }
        const running_watch watch = *this->running;
        const revision version =
            this->history.read(watch.plan.reads, now - transit);
        const bool is_over = now >= watch.since + watch.plan.longest;
        if (this->is_silent || (version <= watch.from && !is_over))
        {
            return;
        }
        watch_batch batch{std::max(version, watch.from), {}};
        if (version > watch.from)
        {
            batch.events.push_back(
                {store_event::change::written, {{kind, "a"}, "", version}});
        }
        this->running.reset();
        const auto taken = this->watcher.on_watched(batch, now);
        if (taken)
        {
            this->has_read_store =
                watch.plan.reads == watch_plan::source::store;
            this->progress.on_events(*taken);
        }
    }

    void on_view(const view_position& view)
    {
        this->freshness.on_view(view);
        if (this->has_read_store)
        {
            this->freshness.on_confirmed(this->read_began);
        }
        if (view != this->reported)
        {
            this->report();
        }
    }

    void report()
    {
        const auto confirmed = this->freshness.confirmed_at();
        if (!confirmed || !this->freshness.confirms())
        {
            return;
        }
        this->next_report = this->time.now() + report_interval;
        this->reported = this->progress.position();
        this->send(this->reported, this->time.now() - *confirmed);
    }

    const fireflysail::clock& time;
    const scripted_history& history;
    const std::size_t rank;
    const sender send;
    view_freshness freshness;
    store_watcher watcher;
    watch_progress progress{
        {kind},
        [this](const view_position& view)
        {
            this->on_view(view);
        }};
    std::optional<running_watch> running;
    std::optional<time_point> listing;
    std::optional<time_point> given_up;
    time_point deadline{};
    time_point next_report{};
    view_position reported;
    bool is_silent = false;
    bool has_read_store = false;
    time_point read_began{};
};

class simulated_fleet
{
public:
    simulated_fleet(std::size_t size, duration lag, std::uint64_t seed)
        : random{seed}
        , history{lag}
    {
        for (std::size_t number = 0; number < size; ++number)
        {
            this->instances.push_back(std::make_unique<simulated_instance>(
                this->time,
                this->history,
                number,
                [this, number](const view_position& view, duration age)
                {
                    this->deliver(view, number, age);
                }));
        }
    }

    void run_until(time_point end)
    {
        while (this->time.now() < end)
        {
            this->time.advance(tick);
            for (std::size_t i = 0; i < this->instances.size(); ++i)
            {
                if (!this->stopped.contains(i))
                {
                    this->instances[i]->step();
                }
            }
        }
    }

    /// The connections in use of about this share go silent.
    void lose_connections(double share)
    {
        std::bernoulli_distribution loses{share};
        for (const auto& instance : this->instances)
        {
            if (loses(this->random))
            {
                instance->lose_connection();
            }
        }
    }

    void stop(std::size_t number)
    {
        this->stopped.insert(number);
    }

    bool all_have_seen(revision change) const
    {
        for (std::size_t i = 0; i < this->instances.size(); ++i)
        {
            if (!this->stopped.contains(i) &&
                this->instances[i]->seen() < change)
            {
                return false;
            }
        }
        return true;
    }

    std::size_t calls() const
    {
        std::size_t total = 0;
        for (const auto& instance : this->instances)
        {
            total += instance->calls;
        }
        return total;
    }

    manual_clock time;
    std::mt19937_64 random;
    scripted_history history;

private:
    void deliver(const view_position& view, std::size_t from, duration age)
    {
        for (std::size_t i = 0; i < this->instances.size(); ++i)
        {
            if (i != from && !this->stopped.contains(from))
            {
                this->instances[i]->on_report(view, from, age);
            }
        }
    }

    std::vector<std::unique_ptr<simulated_instance>> instances;
    std::set<std::size_t> stopped;
};

constexpr time_point calm{20s};

} // namespace

// Guards against views that are old without a sign, as the connections of their
// watches went silent.
TEST_CASE("silent watches hide no change for longer than the bound")
{
    const std::size_t size = GENERATE(1, 2, 3, 9, 30);
    const duration lag = GENERATE(0ms, 800ms, 3s);
    const double share = GENERATE(0.3, 1.0);
    const duration lost_at = GENERATE(0ms, 330ms, 700ms, 950ms);
    const duration changed_after = GENERATE(0ms, 500ms, 1s, 3'100ms);
    const bool loses_first = GENERATE(false, true);
    CAPTURE(size, lag, share, lost_at, changed_after, loses_first);
    simulated_fleet fleet{size, lag, 7};
    const time_point lost = calm + lost_at;
    fleet.run_until(lost);
    fleet.lose_connections(share);
    if (loses_first && size > 1)
    {
        fleet.stop(0);
    }
    const time_point changed = lost + changed_after;
    fleet.history.change_at(changed);
    fleet.run_until(std::max(changed + bound, lost + contact));
    CHECK(fleet.all_have_seen(revision{scripted_history::first + 1}));
}

// Guards against copies that lag and are read on while changes come fast.
TEST_CASE("each change of a storm is in all views within the bound")
{
    const std::size_t size = GENERATE(1, 7, 9, 30);
    const duration lag = GENERATE(0ms, 800ms, 3s, 10s);
    const duration gap = GENERATE(50ms, 330ms, 700ms);
    CAPTURE(size, lag, gap);
    simulated_fleet fleet{size, lag, 7};
    std::vector<time_point> changes;
    for (time_point when = calm; when < calm + 6s; when += gap)
    {
        changes.push_back(when);
        fleet.history.change_at(when);
    }
    std::uint64_t version = scripted_history::first;
    for (const time_point change : changes)
    {
        ++version;
        fleet.run_until(change + bound);
        CHECK(fleet.all_have_seen(revision{version}));
    }
}

TEST_CASE("a calm fleet of any size reads the store about as often")
{
    const std::size_t size = GENERATE(1, 9, 90);
    CAPTURE(size);
    simulated_fleet fleet{size, 800ms, 7};
    fleet.run_until(calm);
    const std::size_t before = fleet.calls();
    fleet.run_until(calm + 60s);
    // One a second that confirms all views, and the long watches.
    CHECK(fleet.calls() - before <= 60 + size * 5);
}
