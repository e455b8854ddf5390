#pragma once

namespace fireflysail
{

/// Has a process that a fatal signal ends write the signal and the stack to
/// standard error first. The disposition of SIGTERM stays as it is. Call once.
void report_fatal_signals(const char* program);

} // namespace fireflysail
