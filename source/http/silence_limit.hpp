#pragma once

#include <chrono>

namespace fireflysail
{

/// Time after which a connection to another process counts as lost if the
/// other side acknowledges nothing.
inline constexpr std::chrono::seconds max_silence{2};

/// Ends the connection with an error once its other side has acknowledged
/// neither data nor a keep-alive probe for the time. Without it a connection
/// that a partition or a middlebox has dropped looks idle for ever. Does not
/// show that a process answers; that takes a time limit on its answers.
void limit_silence(int socket, std::chrono::seconds limit = max_silence);

} // namespace fireflysail
