#include "main/store_view.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Part of the time in which a leaving server must be left that changes may
/// wait to be fetched together.
constexpr int watch_interval_divisor = 3;

/// A view that no instance confirms any more is read anew before a change in it
/// is due to be in force.
freshness_options make_freshness(const service_bounds& bounds)
{
    const duration bound = std::min(bounds.drain, bounds.config_in_force);
    const store_watcher_options watch = watch_options(bounds);
    freshness_options options;
    options.confirm_interval = bound / 2;
    options.longest_watch = watch.watch_time;
    options.lifetime = bound * 9 / 10;
    options.max_lag = watch.watch_interval + 300ms;
    return options;
}

std::string_view name_of(watch_defect defect)
{
    switch (defect)
    {
    case watch_defect::overlooked_change:
        return "peer_ahead";
    case watch_defect::unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

} // namespace

store_watcher_options watch_options(const service_bounds& bounds)
{
    store_watcher_options options;
    options.list_time = 2s;
    options.longest_list_time = 8s;
    // The freshness of the view asks for shorter ones where it must.
    options.watch_time = 15s;
    options.list_after_failure = true;
    options.watch_interval = bounds.drain / watch_interval_divisor;
    options.relist_spread = 200ms;
    options.retry.first = 100ms;
    options.retry.longest = 1s;
    return options;
}

store_watcher_options short_watch_options(const service_bounds& bounds)
{
    store_watcher_options options = watch_options(bounds);
    options.watch_time = 2500ms;
    options.may_lag = true;
    options.list_after_failure = false;
    return options;
}

store_view::store_view(
    const stores& from,
    store_consumer& consumer,
    const clock& time,
    const service_bounds& bounds,
    listeners listening,
    std::mt19937_64& random)
    : freshness{time, make_freshness(bounds)}
    , listening{std::move(listening)}
    , source{from.current, from.copy, this->freshness, time}
    , progress{
          consumer.kinds(),
          [this](const view_position& reached)
          {
              this->on_answer(reached);
          }}
    , watch{
          this->source,
          {&consumer, &this->progress},
          time,
          watch_options(bounds),
          random()}
    , bell{consumer.kinds(), time, this->listening.on_contact}
    , bell_watch{
          from.copy_for_short_watch,
          {&this->bell},
          time,
          short_watch_options(bounds),
          random()}
{
}

void store_view::start()
{
    this->watch.start();
}

void store_view::start_short_watch()
{
    this->bell_watch.start();
}

void store_view::interrupt()
{
    this->source.interrupt_watches();
}

std::optional<std::string_view> store_view::end_useless_watch()
{
    if (this->bell.is_overlooked(this->watch.status()))
    {
        this->interrupt();
        return "copy_ahead";
    }
    const auto defect = this->source.interrupt_if_defective();
    return defect ? std::optional{name_of(*defect)} : std::nullopt;
}

watch_hub_status store_view::status() const
{
    return this->watch.status();
}

watch_hub_status store_view::short_watch_status() const
{
    return this->bell_watch.status();
}

view_position store_view::position() const
{
    return this->progress.position();
}

bool store_view::reads_copy() const
{
    return !this->source.store_read_at().has_value();
}

void store_view::on_answer(const view_position& reached)
{
    this->freshness.on_view(reached);
    if (const auto began = this->source.store_read_at())
    {
        this->freshness.on_confirmed(*began);
    }
    this->listening.on_answer();
}

} // namespace fireflysail
