#include "ledger/attempt_updates.hpp"

#include <variant>

namespace fireflysail
{

namespace
{

class attempt_table_update
{
public:
    attempt_table_update(const claim_session& session, attempt_table& attempts)
        : session{session}
        , attempts{attempts}
    {
    }

    bool operator()(const dispatch_request& command) const
    {
        return this->attempts.begin_dispatch(command.attempt);
    }

    bool operator()(const record_outcome& command) const
    {
        if (command.entry.attempt == this->session.id())
        {
            this->attempts.finish(
                command.entry.attempt,
                command.entry.state,
                command.entry.response);
        }
        return true;
    }

    bool operator()(const give_answer&) const
    {
        const auto& unrecorded = this->session.unrecorded();
        const bool own =
            unrecorded && unrecorded->entry.attempt == this->session.id();
        if (!own)
        {
            this->attempts.forget(this->session.id());
        }
        return true;
    }

    template <class Command>
    bool operator()(const Command&) const
    {
        return true;
    }

private:
    const claim_session& session;
    attempt_table& attempts;
};

} // namespace

bool update_attempts(
    const claim_session& session,
    const session_command& command,
    attempt_table& attempts)
{
    return std::visit(attempt_table_update{session, attempts}, command);
}

} // namespace fireflysail
