#include "routing/outcome.hpp"

namespace fireflysail
{

namespace
{

struct outcome_namer
{
    std::string_view operator()(const completed&) const
    {
        return "completed";
    }

    std::string_view operator()(const did_not_run&) const
    {
        return "did_not_run";
    }

    std::string_view operator()(const outcome_unknown&) const
    {
        return "outcome_unknown";
    }

    std::string_view operator()(const failed&) const
    {
        return "failed";
    }
};

} // namespace

std::string_view name_of(const outcome& value)
{
    return std::visit(outcome_namer{}, value);
}

std::string_view name_of(did_not_run_reason reason)
{
    switch (reason)
    {
    case did_not_run_reason::overloaded:
        return "overloaded";
    case did_not_run_reason::deadline:
        return "deadline";
    case did_not_run_reason::over_plan:
        return "over_plan";
    case did_not_run_reason::quarantined:
        return "quarantined";
    case did_not_run_reason::no_backend_server:
        return "no_backend_server";
    case did_not_run_reason::claim_unconfirmed:
        return "claim_unconfirmed";
    case did_not_run_reason::cancelled:
        return "cancelled";
    case did_not_run_reason::shutting_down:
        return "shutting_down";
    }
    return "unknown";
}

std::string_view name_of(failed_reason reason)
{
    switch (reason)
    {
    case failed_reason::retries_exhausted:
        return "retries_exhausted";
    case failed_reason::deadline:
        return "deadline";
    case failed_reason::backend_error:
        return "backend_error";
    case failed_reason::cancelled:
        return "cancelled";
    case failed_reason::answer_not_kept:
        return "answer_not_kept";
    case failed_reason::crashes_backend_servers:
        return "crashes_backend_servers";
    }
    return "unknown";
}

} // namespace fireflysail
