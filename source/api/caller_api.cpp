#include "api/caller_api.hpp"

#include "api/error_body.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace fireflysail
{

namespace
{

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int service_unavailable = 503;
constexpr std::size_t max_request_id_bytes = 128;
constexpr auto request_id_header = "X-Request-Id";
constexpr auto deadline_header = "X-Deadline-Ms";

http_server_options server_options(const caller_api_settings& chosen)
{
    http_server_options options;
    options.read_timeout = chosen.read_timeout;
    options.write_timeout = chosen.write_timeout;
    options.idle_timeout = chosen.idle_timeout;
    options.max_connections = chosen.max_connections;
    options.max_body_bytes = chosen.max_body_bytes;
    return options;
}

/// A caller's own name for the request, where it is harmless in logs.
std::optional<std::string> own_request_id(const httplib::Request& http)
{
    const auto given = http.get_header_value(request_id_header);
    const bool sound = !given.empty() && given.size() <= max_request_id_bytes &&
                       std::ranges::all_of(
                           given,
                           [](unsigned char c)
                           {
                               return c > 0x20 && c < 0x7f && c != '"';
                           });
    return sound ? std::optional{given} : std::nullopt;
}

std::optional<std::chrono::milliseconds>
read_deadline(const httplib::Request& http, std::chrono::milliseconds longest)
{
    if (!http.has_header(deadline_header))
    {
        return longest;
    }
    const auto text = http.get_header_value(deadline_header);
    std::int64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || number <= 0)
    {
        return std::nullopt;
    }
    return std::min(longest, std::chrono::milliseconds{number});
}

} // namespace

caller_api::caller_api(const caller_api_settings& chosen, const parts& used)
    : chosen{chosen}
    , used{used}
    , completions{
          used.completions,
          used.limits,
          used.metrics,
          used.time,
          {chosen.max_prompt_bytes, chosen.max_tokens}}
    , services{used.services, used.limits, used.metrics}
    , server{server_options(chosen)}
{
    this->route();
}

void caller_api::route()
{
    const auto add = [this](handler handle)
    {
        return [this, handle = std::move(handle)](
                   const httplib::Request& http, httplib::Response& response)
        {
            this->serve(http, response, handle);
        };
    };
    this->server.Post(
        "/v1/completions",
        add(
            [this](const auto& http, auto& response, const auto& context)
            {
                this->completions.handle(
                    http, response, context, completion_shape::text);
            }));
    this->server.Post(
        "/v1/chat/completions",
        add(
            [this](const auto& http, auto& response, const auto& context)
            {
                this->completions.handle(
                    http, response, context, completion_shape::chat);
            }));
    this->server.Get(
        "/v1/models",
        add(
            [this](const auto&, auto& response, const auto& context)
            {
                this->list_models(response, context);
            }));
    const auto service = add(
        [this](const auto& http, auto& response, const auto& context)
        {
            this->services.handle(http, response, context);
        });
    constexpr auto any_service = "/v1/services/.*";
    this->server.Get(any_service, service);
    this->server.Post(any_service, service);
    this->server.Put(any_service, service);
    this->server.Patch(any_service, service);
    this->server.Delete(any_service, service);
    this->server.Options(any_service, service);
    this->server.Get(
        "/livez",
        [](const auto&, auto& response)
        {
            response.set_content("ok\n", "text/plain");
        });
    this->server.Get(
        "/readyz",
        [this](const auto&, auto& response)
        {
            const bool ready = !this->draining && this->used.ready();
            response.status = ready ? ok : service_unavailable;
            response.set_content(
                ready ? "ready\n" : "not ready\n", "text/plain");
        });
    this->server.set_error_handler(
        [this](const auto&, auto& response)
        {
            if (response.body.empty())
            {
                respond(
                    response,
                    {response.status,
                     "invalid_request",
                     "The request is not one that this port serves."},
                    this->used.ids.next_request());
            }
        });
}

void caller_api::serve(
    const httplib::Request& http,
    httplib::Response& response,
    const handler& handle)
{
    request_context context;
    const auto given = own_request_id(http);
    context.id = this->used.ids.next_request();
    response.set_header(request_id_header, given ? *given : context.id.str());
    if (this->draining)
    {
        const outcome refusal = did_not_run{
            did_not_run_reason::shutting_down, std::chrono::seconds{1}};
        respond(response, describe(refusal), context.id);
        return;
    }
    auto caller = authenticate(
        this->used.board.lists.load(),
        bearer_credential(http.get_header_value("Authorization")));
    if (!caller)
    {
        this->used.metrics.count(request_event::unauthenticated);
        respond(
            response,
            {unauthorized,
             "unauthenticated",
             "The bearer key names no workspace."},
            context.id);
        return;
    }
    context.caller = std::move(*caller);
    const auto time_left = read_deadline(http, this->chosen.default_deadline);
    if (!time_left)
    {
        respond(
            response,
            {bad_request,
             "invalid_request",
             "X-Deadline-Ms must be a number of milliseconds above zero."},
            context.id);
        return;
    }
    context.began = this->used.time.now();
    context.deadline = context.began + *time_left;
    handle(http, response, context);
}

void caller_api::list_models(
    httplib::Response& response, const request_context& context)
{
    nlohmann::json models = nlohmann::json::array();
    for (const auto& model : context.caller.entitlement->models)
    {
        models.push_back({{"id", model.str()}, {"object", "model"}});
    }
    const nlohmann::json body{{"object", "list"}, {"data", std::move(models)}};
    response.set_content(body.dump(), "application/json");
}

bool caller_api::start()
{
    if (!this->server.bind(this->chosen.listen.host, this->chosen.listen.port))
    {
        return false;
    }
    this->server.start();
    return true;
}

void caller_api::refuse_new_work()
{
    this->draining = true;
}

std::size_t caller_api::running() const
{
    return this->server.active_requests();
}

void caller_api::stop()
{
    this->server.shut_down();
}

} // namespace fireflysail
