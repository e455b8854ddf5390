#include "common/wake_signal.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

/// Keeps the end of a wait within the range of the clock.
constexpr duration most = std::chrono::hours{1};

} // namespace

void wake_signal::set()
{
    const std::lock_guard lock{this->mutex};
    this->is_set = true;
    this->changed.notify_one();
}

bool wake_signal::wait_for(duration longest)
{
    std::unique_lock lock{this->mutex};
    this->changed.wait_for(
        lock,
        std::clamp(longest, duration::zero(), most),
        [this]
        {
            return this->is_set;
        });
    return std::exchange(this->is_set, false);
}

} // namespace fireflysail
