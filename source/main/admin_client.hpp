#pragma once

#include "main/command_line.hpp"

namespace fireflysail
{

/// Sends one command to the admin port and prints the answer.
exit_code run_admin_command(const admin_command& wanted);

} // namespace fireflysail
