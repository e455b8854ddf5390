#pragma once

namespace fireflysail
{

/// Opens those standard streams that are closed: the first connections would
/// take their places, and what is written to the log.
void open_standard_streams();

/// Has writes fail with an error where they would end the process: nobody reads
/// any more, or the file may not grow.
void ignore_write_signals();

/// Has the few threads of an instance share memory pools: each pool of its own
/// reserves address space, for which a limit may leave no room.
void share_memory_pools();

/// Holds back the signals to stop and to read the settings again, which end a
/// process that has no handler for them yet.
void hold_signals();
void release_signals();

/// Whether a signal to stop is held back.
bool is_stop_held();

} // namespace fireflysail
