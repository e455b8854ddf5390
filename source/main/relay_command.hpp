#pragma once

#include "main/command_line.hpp"

namespace fireflysail
{

/// Serves as an instance on the users' platform until it is told to stop.
exit_code run_relay(const relay_command& wanted);

} // namespace fireflysail
