#pragma once

namespace fireflysail
{

/// Lets a listener bind the port that the system chose for an outgoing
/// connection, while it lasts and in TIME_WAIT. Without it a port of the range
/// for outgoing connections cannot be listened on until a minute after the
/// connection has ended. The listener has to reuse addresses too.
void share_local_port(int socket);

} // namespace fireflysail
