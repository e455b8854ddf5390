#pragma once

#include "ledger/attempt_table.hpp"
#include "ledger/claim_session.hpp"

namespace fireflysail
{

/// Brings the table of attempts in line with `command` of `session`. Must be
/// called before the command is carried out: whatever the table then says to
/// another instance stays true. False if the command is not allowed: a
/// dispatch of an attempt that was disowned.
bool update_attempts(
    const claim_session& session,
    const session_command& command,
    attempt_table& attempts);

} // namespace fireflysail
