#pragma once

#include "main/command_line.hpp"

namespace fireflysail
{

/// Runs an instance until it is told to stop.
exit_code serve(const serve_command& wanted);

/// Reports every mistake in a settings file.
exit_code check_settings(const check_settings_command& wanted);

} // namespace fireflysail
