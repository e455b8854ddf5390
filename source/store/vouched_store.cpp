#include "store/vouched_store.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

/// Time for the answer of a watch whose wait is over.
constexpr std::chrono::milliseconds answer_margin{500};

} // namespace

vouched_store::vouched_store(
    store& current, store& copy, view_freshness& freshness, const clock& time)
    : current{current}
    , copy{copy}
    , freshness{freshness}
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
    this->read_at = this->time.now();
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
    const running_watch begun{
        this->freshness.plan(from), from, this->time.now()};
    {
        const absl::MutexLock lock{&this->mutex};
        this->running = begun;
    }
    const bool reads_store = begun.plan.reads == watch_plan::source::store;
    this->read_at = reads_store ? std::optional{begun.since} : std::nullopt;
    store& source = reads_store ? this->current : this->copy;
    auto batch = source.watch(
        kinds,
        from,
        std::min(deadline, begun.since + begun.plan.longest + answer_margin));
    {
        const absl::MutexLock lock{&this->mutex};
        this->running.reset();
    }
    if (!reads_store && batch && batch.value().next < from)
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

std::optional<watch_defect> vouched_store::interrupt_if_defective()
{
    const absl::MutexLock lock{&this->mutex};
    const auto defect = this->running
                            ? this->freshness.find_defect(*this->running)
                            : std::nullopt;
    if (defect)
    {
        const bool is_copy =
            this->running->plan.reads == watch_plan::source::copy;
        (is_copy ? this->copy : this->current).interrupt_watches();
    }
    return defect;
}

std::optional<time_point> vouched_store::store_read_at() const
{
    return this->read_at;
}

} // namespace fireflysail
