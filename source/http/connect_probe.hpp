#pragma once

#include <chrono>
#include <string>

namespace fireflysail
{

/// Whether something accepts TCP connections at the address (an IP number).
bool can_connect(
    const std::string& host, int port, std::chrono::milliseconds timeout);

} // namespace fireflysail
