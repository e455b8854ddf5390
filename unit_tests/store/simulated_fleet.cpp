#include "store/simulated_fleet.hpp"

#include "common/error.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <variant>

namespace fireflysail::testing
{

namespace
{

constexpr const char* kind = "servers";

constexpr duration tick = 10ms;

/// Answers of the store and messages among instances take this long.
constexpr duration transit = 10ms;

/// Watches are looked through, and end after they were given up, this late.
constexpr duration look_interval = 250ms;

constexpr duration report_interval = 300ms;

constexpr std::uint64_t first_number = 10;

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

stored_object object_of(const scripted_history::state& shown)
{
    return {{kind, "a"}, std::to_string(shown.newest), shown.version};
}

} // namespace

scripted_history::scripted_history(duration lag, eras answered)
    : lag{lag}
    , answered{answered}
{
    const store_era first{answered == eras::named ? 1U : 0U};
    this->points.push_back({{}, {make_revision(first, first_number), 0}});
}

change_serial scripted_history::change_at(time_point when)
{
    const revision next = this->points.back().shown.version.next();
    this->points.push_back({when, {next, ++this->changes}});
    return this->changes;
}

void scripted_history::restore_at(time_point when, duration away, duration age)
{
    state shown = this->state_at(when - age);
    if (this->answered == eras::named)
    {
        const store_era before = era_of(this->points.back().shown.version);
        shown.version = make_revision(
            store_era{before.value() + 1}, change_number_of(shown.version));
    }
    this->outages.push_back({when, when + away});
    this->points.push_back({when + away, shown});
}

scripted_history::state
scripted_history::read(watch_plan::source from, time_point now) const
{
    const duration behind =
        from == watch_plan::source::copy ? this->lag : duration::zero();
    return this->state_at(now - behind);
}

bool scripted_history::is_away(time_point now) const
{
    return std::ranges::any_of(
        this->outages,
        [now](const outage& one)
        {
            return one.since <= now && now < one.until;
        });
}

const scripted_history::state& scripted_history::state_at(time_point when) const
{
    const auto after =
        std::ranges::upper_bound(this->points, when, {}, &point::since);
    return after == this->points.begin() ? this->points.front().shown
                                         : std::prev(after)->shown;
}

simulated_instance::simulated_instance(
    const fireflysail::clock& time,
    const scripted_history& history,
    std::size_t rank,
    std::uint64_t seed,
    sender send)
    : time{time}
    , history{history}
    , rank{rank}
    , send{std::move(send)}
    , freshness{time, make_freshness()}
    , watcher{make_watcher(), seed}
    , progress{
          {kind},
          [this](const view_position& view)
          {
              this->on_view(view);
          }}
{
    this->freshness.set_rank(rank);
}

void simulated_instance::step()
{
    const time_point now = this->time.now();
    if (this->history.is_away(now) && (this->running || this->listing) &&
        !this->is_silent)
    {
        this->lose_store();
    }
    else if (this->running)
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

void simulated_instance::on_report(
    const view_position& view, std::size_t from, duration age)
{
    const bool counts = from < this->rank;
    this->freshness.on_report(view, counts ? std::optional{age} : std::nullopt);
}

void simulated_instance::lose_connection()
{
    this->is_silent = this->running || this->listing;
}

void simulated_instance::set_silent_when_away(bool silent)
{
    this->silent_when_away = silent;
}

change_serial simulated_instance::seen() const
{
    return this->held.newest;
}

bool simulated_instance::went_back() const
{
    return this->has_gone_back;
}

void simulated_instance::begin(const store_watcher::command& what)
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
            this->freshness.plan(watch->from), watch->from, this->time.now()};
        this->read_began = this->running->since;
        this->deadline =
            this->running->since + this->running->plan.longest + 500ms;
        ++this->calls;
    }
    this->given_up.reset();
    this->is_silent = false;
}

void simulated_instance::lose_store()
{
    if (this->silent_when_away)
    {
        this->is_silent = true;
        return;
    }
    const bool was_watch = this->running.has_value();
    this->running.reset();
    this->listing.reset();
    if (was_watch)
    {
        this->watcher.on_watched(errc::unavailable, this->time.now());
    }
    else
    {
        this->watcher.on_listed(errc::unavailable, this->time.now());
    }
}

void simulated_instance::step_list(time_point now)
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
    const auto shown = this->history.read(watch_plan::source::store, now);
    const auto snapshot = this->watcher.on_listed(
        store_snapshot{shown.version, {object_of(shown)}}, now);
    if (snapshot)
    {
        this->has_read_store = true;
        this->take(snapshot->objects.front());
        this->progress.on_snapshot(*snapshot);
    }
}

void simulated_instance::step_watch(time_point now)
{
    const bool looks = now.time_since_epoch() % look_interval == 0ms;
    if (looks && !this->given_up && this->freshness.find_defect(*this->running))
    {
        this->given_up = now;
    }
    const bool ends = this->given_up && now >= *this->given_up + look_interval;
    if (ends || now >= this->deadline)
    {
        this->running.reset();
        this->watcher.on_watched(errc::unavailable, now);
        return;
    }
    const running_watch watch = *this->running;
    const auto shown = this->history.read(watch.plan.reads, now - transit);
    const auto known = change_number_of(watch.from);
    const auto number = change_number_of(shown.version);
    // The store refuses a watch from a number that it has not given out, but
    // one that waited while the store came back waits on. A copy waits.
    const bool is_refused = number < known && now <= watch.since + transit &&
                            watch.plan.reads == watch_plan::source::store;
    const bool is_over = now >= watch.since + watch.plan.longest;
    if (this->is_silent || (number <= known && !is_refused && !is_over))
    {
        return;
    }
    this->running.reset();
    const auto taken =
        this->watcher.on_watched(this->answer_of(watch, shown), now);
    if (!taken)
    {
        return;
    }
    this->has_read_store = watch.plan.reads == watch_plan::source::store;
    if (!taken->events.empty())
    {
        this->take(taken->events.back().object);
    }
    this->progress.on_events(*taken);
}

/// As the platform's store and its copy answer.
result<watch_batch> simulated_instance::answer_of(
    const running_watch& watch, const scripted_history::state& shown) const
{
    const store_era known = era_of(watch.from);
    const store_era answered = era_of(shown.version);
    const bool is_copy = watch.plan.reads == watch_plan::source::copy;
    if (answered < known || (is_copy && shown.version < watch.from))
    {
        return watch_batch{watch.from, {}};
    }
    if (answered > known || shown.version < watch.from)
    {
        return errc::compacted;
    }
    watch_batch batch{shown.version, {}};
    if (shown.version > watch.from)
    {
        batch.events.push_back(
            {store_event::change::written, object_of(shown)});
    }
    return batch;
}

void simulated_instance::take(const stored_object& object)
{
    const scripted_history::state next{
        object.version, std::stoull(object.value)};
    const bool is_same_era = era_of(next.version) == era_of(this->held.version);
    this->has_gone_back |= next.version < this->held.version ||
                           (is_same_era && next.newest < this->held.newest);
    this->held = next;
}

void simulated_instance::on_view(const view_position& view)
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

void simulated_instance::report()
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

simulated_fleet::simulated_fleet(
    std::size_t size,
    duration lag,
    std::uint64_t seed,
    scripted_history::eras answered)
    : random{seed}
    , history{lag, answered}
{
    for (std::size_t number = 0; number < size; ++number)
    {
        this->instances.push_back(std::make_unique<simulated_instance>(
            this->time,
            this->history,
            number,
            this->random(),
            [this, number](const view_position& view, duration age)
            {
                this->deliver(view, number, age);
            }));
    }
}

void simulated_fleet::run_until(time_point end)
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

void simulated_fleet::lose_connections(double share)
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

void simulated_fleet::set_silent_when_away(double share)
{
    std::bernoulli_distribution is_silent{share};
    for (const auto& instance : this->instances)
    {
        instance->set_silent_when_away(is_silent(this->random));
    }
}

void simulated_fleet::stop(std::size_t number)
{
    this->stopped.insert(number);
}

bool simulated_fleet::all_have_seen(change_serial change) const
{
    for (std::size_t i = 0; i < this->instances.size(); ++i)
    {
        if (!this->stopped.contains(i) && this->instances[i]->seen() < change)
        {
            return false;
        }
    }
    return true;
}

bool simulated_fleet::any_went_back() const
{
    return std::ranges::any_of(
        this->instances,
        [](const auto& instance)
        {
            return instance->went_back();
        });
}

std::size_t simulated_fleet::calls() const
{
    std::size_t total = 0;
    for (const auto& instance : this->instances)
    {
        total += instance->calls;
    }
    return total;
}

void simulated_fleet::deliver(
    const view_position& view, std::size_t from, duration age)
{
    for (std::size_t i = 0; i < this->instances.size(); ++i)
    {
        if (i != from && !this->stopped.contains(from))
        {
            this->instances[i]->on_report(view, from, age);
        }
    }
}

} // namespace fireflysail::testing
