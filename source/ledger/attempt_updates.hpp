#pragma once

#include "ledger/attempt_table.hpp"
#include "ledger/claim_session.hpp"

namespace fireflysail
{

/// Updates the attempt table for `command` of `session`. Must be called before
/// the command is executed, so that answers given to other instances from the
/// table stay true. Returns false if the command must not be executed, which is
/// the case for a dispatch of an attempt that was disowned.
bool update_attempts(
    const claim_session& session,
    const session_command& command,
    attempt_table& attempts);

} // namespace fireflysail
