#include "api/error_body.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace fireflysail
{

namespace
{

constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int too_many_requests = 429;
constexpr int unprocessable = 422;
constexpr int ok = 200;

int status_of(did_not_run_reason reason)
{
    switch (reason)
    {
    case did_not_run_reason::overloaded:
    case did_not_run_reason::over_plan:
        return too_many_requests;
    case did_not_run_reason::quarantined:
        return unprocessable;
    case did_not_run_reason::deadline:
    case did_not_run_reason::no_backend_server:
    case did_not_run_reason::claim_unconfirmed:
    case did_not_run_reason::cancelled:
    case did_not_run_reason::shutting_down:
        break;
    }
    return service_unavailable;
}

std::string message_of(did_not_run_reason reason)
{
    if (reason == did_not_run_reason::claim_unconfirmed)
    {
        return "This send did not run. Whether an earlier one with the same "
               "Idempotency-Key ran cannot be told now; send it again.";
    }
    return "The request did not run.";
}

api_error describe_one(const completed&)
{
    return {ok, "completed", "completed", "completed", {}};
}

api_error describe_one(const did_not_run& refusal)
{
    return {
        status_of(refusal.reason),
        std::string{name_of(refusal.reason)},
        message_of(refusal.reason),
        "did_not_run",
        refusal.retry_after};
}

api_error describe_one(const outcome_unknown&)
{
    return {
        gateway_timeout,
        "outcome_unknown",
        "The request may or may not have run; it was not repeated.",
        "unknown",
        {}};
}

api_error describe_one(const failed& failure)
{
    const bool late = failure.reason == failed_reason::deadline;
    return {
        late ? gateway_timeout : bad_gateway,
        std::string{name_of(failure.reason)},
        "The request ran but gave no whole answer.",
        "failed",
        {}};
}

} // namespace

api_error describe(const outcome& how)
{
    return std::visit(
        [](const auto& each)
        {
            return describe_one(each);
        },
        how);
}

std::string to_json(const api_error& error, const request_id& id)
{
    nlohmann::json body{
        {"code", error.code},
        {"message", error.message},
        {"outcome", error.outcome},
        {"request_id", id.str()}};
    if (error.retry_after > duration::zero())
    {
        body["retry_after_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                error.retry_after)
                .count();
    }
    return nlohmann::json{{"error", std::move(body)}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void respond(
    httplib::Response& response, const api_error& error, const request_id& id)
{
    response.status = error.status;
    if (error.retry_after > duration::zero())
    {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(error.retry_after);
        response.set_header("Retry-After", fmt::format("{}", seconds.count()));
    }
    response.set_content(to_json(error, id), "application/json");
}

} // namespace fireflysail
