#pragma once

#include "store/call_budget.hpp"
#include "store/store.hpp"

namespace fireflysail
{

/// A store whose calls count against a budget, at one priority. Calls over the
/// budget end at once with errc::over_budget. Several may share one budget.
class budgeted_store final : public store
{
public:
    budgeted_store(
        store& inner,
        call_budget& budget,
        call_priority priority,
        const clock& time);

    result<stored_object>
    get(const object_key& key, time_point deadline) override;

    result<store_snapshot>
    list(const std::vector<std::string>& kinds, time_point deadline) override;

    result<revision> create(
        const object_key& key,
        const std::string& value,
        time_point deadline) override;

    result<revision> update(
        const object_key& key,
        const std::string& value,
        revision expected,
        time_point deadline) override;

    result<revision> remove(
        const object_key& key, revision expected, time_point deadline) override;

    result<watch_batch> watch(
        const std::vector<std::string>& kinds,
        revision from,
        time_point deadline) override;

private:
    bool take(call_type type);

    store& inner;
    call_budget& budget;
    const call_priority priority;
    const clock& time;
};

} // namespace fireflysail
