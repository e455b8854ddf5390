#pragma once

#include "common/clock.hpp"
#include "settings/node_settings.hpp"

#include <functional>
#include <vector>

namespace fireflysail
{

/// Reads the settings until they have no mistake, as the platform may still be
/// writing them when the process starts; gives up with the last mistakes after
/// a bounded time, or at once when the process is to stop. Logs the first
/// mistakes at once.
node_settings_outcome await_node_settings(
    const std::function<node_settings_outcome()>& read,
    const clock& time,
    const std::function<void(duration)>& sleep,
    const std::function<bool()>& is_stopping);

void log_mistakes(const std::vector<settings_mistake>& mistakes);

} // namespace fireflysail
