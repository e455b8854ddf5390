#include "serving/recovery_pool.hpp"

namespace fireflysail
{

recovery_pool::recovery_pool(const clock& time, std::uint64_t seed)
    : time{time}
    , budget{{}, time.now()}
    , pacer{{}}
    , random{seed}
{
}

recovery_step recovery_pool::next_step(
    request_recovery& recovery,
    const attempt_failure& failure,
    const recovery_view& view)
{
    const absl::MutexLock lock{&this->mutex};
    return recovery.next_step(
        failure,
        view,
        {this->budget, this->pacer, this->random},
        this->time.now());
}

void recovery_pool::credit()
{
    const absl::MutexLock lock{&this->mutex};
    this->budget.credit(this->time.now());
}

} // namespace fireflysail
