#pragma once

#include "main/command_line.hpp"

namespace fireflysail
{

/// Prints the fleet's demand as the metrics of an instance show it.
exit_code run_load_command(const load_command& wanted);

} // namespace fireflysail
