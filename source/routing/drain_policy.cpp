#include "routing/drain_policy.hpp"

namespace fireflysail
{

drain_policy::drain_policy(const options& chosen)
    : chosen{chosen}
{
}

void drain_policy::begin(time_point now, time_point end)
{
    this->stopping = stop{now, end};
}

bool drain_policy::is_unnoticed(time_point now) const
{
    return !this->stopping || now - this->stopping->began < this->chosen.notice;
}

bool drain_policy::may_send(
    work_kind work, time_point deadline, time_point now) const
{
    if (!this->stopping)
    {
        return true;
    }
    const bool is_in_time =
        deadline <= this->stopping->end - this->chosen.answer_margin;
    return is_in_time ||
           (this->is_unnoticed(now) && work != work_kind::non_idempotent);
}

} // namespace fireflysail
