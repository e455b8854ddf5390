#include "api/service_handler.hpp"

#include "api/error_body.hpp"
#include "http/server.hpp"
#include "store/claim_codec.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace fireflysail
{

namespace
{

constexpr std::string_view path_prefix = "/v1/services/";
constexpr int bad_request = 400;
constexpr int forbidden = 403;
constexpr int unprocessable = 422;

struct service_path
{
    service_id service;
    std::string target;
};

std::optional<service_path> split(std::string_view target)
{
    if (!target.starts_with(path_prefix))
    {
        return std::nullopt;
    }
    target.remove_prefix(path_prefix.size());
    const auto end = target.find_first_of("/?");
    if (end == 0)
    {
        return std::nullopt;
    }
    const auto name = target.substr(0, end);
    std::string rest;
    if (end != std::string_view::npos)
    {
        rest = target.substr(end);
    }
    if (!rest.starts_with('/'))
    {
        rest.insert(0, "/");
    }
    return service_path{service_id{std::string{name}}, std::move(rest)};
}

bool is_idempotent(const std::string& method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

service_call
make_call(const httplib::Request& http, const request_context& context)
{
    service_call call;
    call.workspace = context.caller.workspace;
    call.deadline = context.deadline;
    call.idempotent = is_idempotent(http.method);
    call.request.request = context.id;
    call.request.method = http.method;
    call.request.body = http.body;
    call.request.content_type = http.get_header_value("Content-Type");
    for (const char* name : {"Accept", "Accept-Language"})
    {
        if (http.has_header(name))
        {
            call.request.headers.push_back({name, http.get_header_value(name)});
        }
    }
    return call;
}

} // namespace

service_handler::service_handler(
    service_runner& runner, limit_gate& limits, request_metrics& metrics)
    : runner{runner}
    , limits{limits}
    , metrics{metrics}
{
}

void service_handler::handle(
    const httplib::Request& http,
    httplib::Response& response,
    const request_context& context)
{
    const auto path = split(http.target);
    if (!path)
    {
        respond(
            response,
            {bad_request, "invalid_request", "The path names no service."},
            context.id);
        return;
    }
    const auto& allowed = context.caller.entitlement->services;
    if (std::ranges::find(allowed, path->service) == allowed.end())
    {
        respond(
            response,
            {forbidden,
             "service_not_in_plan",
             "The plan of this workspace does not include the service."},
            context.id);
        return;
    }
    auto call = make_call(http, context);
    call.service = path->service;
    call.request.target = path->target;
    if (http.has_header("Idempotency-Key"))
    {
        const idempotency_key key{http.get_header_value("Idempotency-Key")};
        if (!is_valid(key))
        {
            respond(
                response,
                {bad_request,
                 "invalid_request",
                 "Idempotency-Key must be 1 to 255 visible ASCII characters."},
                context.id);
            return;
        }
        call.request.key = key;
    }
    const auto entrance = this->limits.enter(
        call.workspace,
        token_count{0},
        call.deadline,
        &http_server::caller_connected);
    if (const auto* refusal = std::get_if<did_not_run>(&entrance))
    {
        count_outcome(this->metrics, *refusal);
        respond(response, describe(*refusal), context.id);
        return;
    }
    const auto answer = this->runner.run(call, &http_server::caller_connected);
    if (const auto* how = std::get_if<outcome>(&answer))
    {
        count_outcome(this->metrics, *how);
        respond(response, describe(*how), context.id);
        return;
    }
    if (std::holds_alternative<key_conflict>(answer))
    {
        respond(
            response,
            {unprocessable,
             "idempotency_key_reused",
             "The key was used before for a request with other content."},
            context.id);
        return;
    }
    count_outcome(this->metrics, completed{});
    const auto& given = std::get<service_response>(answer);
    response.status = given.status;
    response.set_content(
        given.body,
        given.content_type.empty() ? "application/octet-stream"
                                   : given.content_type);
}

} // namespace fireflysail
