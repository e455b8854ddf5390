#include "store/store_watcher.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

store_watcher::store_watcher(
    const store_watcher_options& options, std::uint64_t seed)
    : options{options}
    , random{seed}
    , retry{options.retry}
    , list_limit{options.list_time}
    , long_list_limit{options.list_time}
{
}

store_watcher::command store_watcher::next(time_point now)
{
    if (now < this->not_before)
    {
        return wait_until{this->not_before};
    }
    if (this->needs_list)
    {
        this->counters.lists += 1;
        // Instances that list together do not go on to watch in step.
        this->not_before =
            now + random_duration(this->options.watch_interval, this->random);
        this->list_deadline = now + this->list_limit;
        return list_now{this->list_deadline};
    }
    this->counters.watches += 1;
    this->not_before = now + this->options.watch_interval;
    return watch_now{this->reached, now + this->options.watch_time};
}

std::optional<store_snapshot>
store_watcher::on_listed(result<store_snapshot> got, time_point now)
{
    if (!got)
    {
        this->on_list_failure(now);
        this->on_error(got.error(), now);
        return std::nullopt;
    }
    this->list_limit = this->options.list_time;
    if (got.value().version < this->reached)
    {
        // Served by a replica that lags behind what was already seen.
        this->counters.stale_lists += 1;
        if (this->options.may_lag)
        {
            this->on_answer(now);
            this->not_before =
                now +
                random_duration(this->options.relist_spread, this->random);
            return std::nullopt;
        }
        this->on_failure(now);
        return std::nullopt;
    }
    this->on_answer(now);
    this->needs_list = false;
    this->reached = got.value().version;
    return std::move(got).value();
}

std::optional<watch_batch>
store_watcher::on_watched(result<watch_batch> got, time_point now)
{
    if (!got && got.error() == errc::compacted)
    {
        this->counters.compactions += 1;
        this->on_answer(now);
        this->needs_list = true;
        this->not_before =
            now + random_duration(this->options.relist_spread, this->random);
        return std::nullopt;
    }
    if (!got)
    {
        this->needs_list = this->options.list_after_failure;
        this->on_error(got.error(), now);
        return std::nullopt;
    }
    watch_batch batch = std::move(got).value();
    if (this->options.may_lag && batch.next < this->reached)
    {
        this->on_answer(now);
        return watch_batch{this->reached, {}};
    }
    const auto version = [](const store_event& event)
    {
        return event.object.version;
    };
    const bool in_order = std::ranges::is_sorted(batch.events, {}, version);
    const bool within = batch.events.empty() ||
                        batch.events.back().object.version <= batch.next;
    if (batch.next < this->reached || !in_order || !within)
    {
        this->counters.malformed += 1;
        this->on_failure(now);
        return std::nullopt;
    }
    std::erase_if(
        batch.events,
        [this](const store_event& event)
        {
            return event.object.version <= this->reached;
        });
    this->on_answer(now);
    this->reached = batch.next;
    return batch;
}

void store_watcher::on_interrupted(time_point now)
{
    this->needs_list = true;
    this->on_failure(now);
}

revision store_watcher::position() const
{
    return this->reached;
}

std::optional<time_point> store_watcher::last_answer() const
{
    return this->answered;
}

std::optional<time_point> store_watcher::failing_since() const
{
    return this->failing;
}

const store_watcher_counts& store_watcher::counts() const
{
    return this->counters;
}

void store_watcher::on_error(const std::error_code& error, time_point now)
{
    if (error == errc::malformed)
    {
        this->counters.malformed += 1;
    }
    this->on_failure(now);
}

void store_watcher::on_list_failure(time_point now)
{
    if (now < this->list_deadline || this->reached != revision{})
    {
        return;
    }
    const bool was_long = this->list_limit > this->options.list_time;
    this->list_limit = this->options.list_time;
    if (!was_long)
    {
        this->long_list_limit = std::min(
            this->long_list_limit * 2, this->options.longest_list_time);
        this->list_limit = std::max(this->list_limit, this->long_list_limit);
    }
}

void store_watcher::on_failure(time_point now)
{
    this->counters.failures += 1;
    this->failing = this->failing.value_or(now);
    this->not_before =
        std::max(this->not_before, now + this->retry.next(this->random));
}

void store_watcher::on_answer(time_point now)
{
    this->answered = now;
    this->failing.reset();
    this->retry.reset();
}

} // namespace fireflysail
