#include "store/budgeted_store.hpp"

namespace fireflysail
{

budgeted_store::budgeted_store(
    store& inner,
    call_budget& budget,
    call_priority priority,
    const clock& time)
    : inner{inner}
    , budget{budget}
    , priority{priority}
    , time{time}
{
}

result<stored_object>
budgeted_store::get(const object_key& key, time_point deadline)
{
    if (!this->take(call_type::read))
    {
        return errc::over_budget;
    }
    return this->inner.get(key, deadline);
}

result<store_snapshot>
budgeted_store::list(const std::vector<std::string>& kinds, time_point deadline)
{
    if (!this->take(call_type::read))
    {
        return errc::over_budget;
    }
    return this->inner.list(kinds, deadline);
}

result<revision> budgeted_store::create(
    const object_key& key, const std::string& value, time_point deadline)
{
    if (!this->take(call_type::write))
    {
        return errc::over_budget;
    }
    return this->inner.create(key, value, deadline);
}

result<revision> budgeted_store::update(
    const object_key& key,
    const std::string& value,
    revision expected,
    time_point deadline)
{
    if (!this->take(call_type::write))
    {
        return errc::over_budget;
    }
    return this->inner.update(key, value, expected, deadline);
}

result<revision> budgeted_store::remove(
    const object_key& key, revision expected, time_point deadline)
{
    if (!this->take(call_type::write))
    {
        return errc::over_budget;
    }
    return this->inner.remove(key, expected, deadline);
}

result<watch_batch> budgeted_store::watch(
    const std::vector<std::string>& kinds, revision from, time_point deadline)
{
    if (!this->take(call_type::read))
    {
        return errc::over_budget;
    }
    return this->inner.watch(kinds, from, deadline);
}

bool budgeted_store::take(call_type type)
{
    return this->budget.take(type, this->priority, this->time.now());
}

} // namespace fireflysail
