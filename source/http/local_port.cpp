#include "http/local_port.hpp"

#include <sys/socket.h>

namespace fireflysail
{

void share_local_port(int socket)
{
    const int enabled = 1;
    // Where the system refuses the option, the connection does without it.
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
}

} // namespace fireflysail
