#pragma once

namespace fireflysail
{

/// Where one copy of a request stands.
enum class copy_state
{
    running,
    /// Its whole, proven response is there.
    answered,
    /// The same, with a status that says that the server failed.
    failed,
    /// The server states that nothing ran.
    refused,
    /// Nothing was sent.
    unsent,
    /// Sent, without a whole response that proves to be the server's.
    broken,
};

/// What follows from the states of two copies.
enum class hedge_verdict
{
    /// Wait for the copy that runs.
    wait,
    /// The response of a copy goes to the caller; the other copy is cancelled.
    answered,
    /// The only response is one of a server that failed.
    failed,
    /// Nothing ran, as a server states.
    refused,
    unsent,
    /// Whether it ran is not known.
    unknown,
};

hedge_verdict combine(copy_state first, copy_state second);

} // namespace fireflysail
