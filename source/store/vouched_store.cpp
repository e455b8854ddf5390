#include "store/vouched_store.hpp"

#include <algorithm>
#include <cstddef>

namespace fireflysail
{

namespace
{

/// Reported changes that are told apart.
constexpr std::size_t max_reported = 64;

} // namespace

copy_vouching::copy_vouching(const clock& time, const vouching_options& options)
    : time{time}
    , options{options}
{
}

void copy_vouching::on_report(revision newest_change)
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
    this->reported_at = now;
    const bool is_new =
        this->reported.empty() || newest_change > this->reported.back().newest;
    if (!is_new)
    {
        return;
    }
    if (this->reported.size() == max_reported)
    {
        // The last one stands for all newer ones, with its own age.
        this->reported.back().newest = newest_change;
        return;
    }
    this->reported.push_back({newest_change, now});
}

const copy_vouching::reported_change*
copy_vouching::first_unseen(revision position)
{
    // The newest one stays, as a peer reports it again and again.
    while (this->reported.size() > 1 &&
           this->reported.front().newest <= position)
    {
        this->reported.pop_front();
    }
    const bool is_unseen =
        !this->reported.empty() && this->reported.front().newest > position;
    return is_unseen ? &this->reported.front() : nullptr;
}

bool copy_vouching::is_vouched(time_point now) const
{
    return now >= this->distrusted_until && this->reported_at &&
           now - *this->reported_at < this->options.report_lifetime;
}

bool copy_vouching::may_use_copy(revision position)
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
    const reported_change* const unseen = this->first_unseen(position);
    if (unseen != nullptr && now - unseen->since >= this->options.max_lag)
    {
        this->distrusted_until = now + this->options.distrust;
    }
    return this->is_vouched(now);
}

bool copy_vouching::may_continue(revision position, time_point since)
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
    const reported_change* const unseen = this->first_unseen(position);
    if (unseen != nullptr &&
        now - std::max(unseen->since, since) >= this->options.patience)
    {
        this->distrusted_until = now + this->options.distrust;
    }
    return this->is_vouched(now);
}

vouched_store::vouched_store(
    store& current, store& copy, copy_vouching& vouching, const clock& time)
    : current{current}
    , copy{copy}
    , vouching{vouching}
    , time{time}
{
}

result<stored_object>
vouched_store::get(const object_key& key, time_point deadline)
{
    return this->current.get(key, deadline);
}

result<store_snapshot>
vouched_store::list(const std::vector<std::string>& kinds, time_point deadline)
{
    return this->current.list(kinds, deadline);
}

result<revision> vouched_store::create(
    const object_key& key, const std::string& value, time_point deadline)
{
    return this->current.create(key, value, deadline);
}

result<revision> vouched_store::update(
    const object_key& key,
    const std::string& value,
    revision expected,
    time_point deadline)
{
    return this->current.update(key, value, expected, deadline);
}

result<revision> vouched_store::remove(
    const object_key& key, revision expected, time_point deadline)
{
    return this->current.remove(key, expected, deadline);
}

result<watch_batch> vouched_store::watch(
    const std::vector<std::string>& kinds, revision from, time_point deadline)
{
    if (!this->vouching.may_use_copy(from))
    {
        return this->current.watch(kinds, from, deadline);
    }
    {
        const absl::MutexLock lock{&this->mutex};
        this->watched = copy_watch{from, this->time.now()};
    }
    auto batch = this->copy.watch(kinds, from, deadline);
    {
        const absl::MutexLock lock{&this->mutex};
        this->watched.reset();
    }
    if (batch && batch.value().next < from)
    {
        // The copy has not come as far as what was read before.
        return watch_batch{from, {}};
    }
    return batch;
}

void vouched_store::interrupt_watches()
{
    this->current.interrupt_watches();
    this->copy.interrupt_watches();
}

void vouched_store::interrupt_if_stale()
{
    const absl::MutexLock lock{&this->mutex};
    if (this->watched &&
        !this->vouching.may_continue(this->watched->from, this->watched->since))
    {
        this->copy.interrupt_watches();
    }
}

} // namespace fireflysail
