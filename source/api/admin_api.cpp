#include "api/admin_api.hpp"

#include "api/authentication.hpp"
#include "api/digest.hpp"

#include <utility>

namespace fireflysail
{

namespace
{

constexpr int ok = 200;
constexpr int unauthorized = 401;
constexpr int service_unavailable = 503;
constexpr auto json_type = "application/json";

void answer(httplib::Response& response, const api_response& given)
{
    response.status = given.status;
    response.set_content(given.body, json_type);
}

} // namespace

admin_api::admin_api(const admin_api_settings& chosen, const parts& used)
    : chosen{chosen}
    , used{used}
    , credential_digest{sha256_hex(chosen.credential)}
    , server{http_server_options{}}
{
    this->route();
}

admin_api::handler admin_api::guarded(handler handle) const
{
    return [this, handle = std::move(handle)](
               const httplib::Request& http, httplib::Response& response)
    {
        const auto header = http.get_header_value("Authorization");
        const auto given = sha256_hex(bearer_credential(header));
        if (!equal_in_constant_time(given, this->credential_digest))
        {
            response.status = unauthorized;
            response.set_content(
                R"({"error":{"code":"unauthenticated"}})", json_type);
            return;
        }
        handle(http, response);
    };
}

operator_identity admin_api::who(const httplib::Request& http) const
{
    const auto user = http.get_header_value("X-User");
    return {user.empty() ? "operator" : user, this->chosen.office};
}

void admin_api::route_entries(const std::string& path, entry_kind kind)
{
    auto& edits = this->used.edits;
    this->server.Get(
        path,
        this->guarded(
            [&edits, kind](const auto&, auto& response)
            {
                answer(response, edits.list(kind));
            }));
    const auto one = path + "/([^/]+)";
    this->server.Get(
        one,
        this->guarded(
            [&edits, kind](const auto& http, auto& response)
            {
                answer(response, edits.get(kind, http.matches[1]));
            }));
    this->server.Get(
        one + "/history",
        this->guarded(
            [&edits, kind](const auto& http, auto& response)
            {
                answer(response, edits.history(kind, http.matches[1]));
            }));
    this->server.Put(
        one,
        this->guarded(
            [this, &edits, kind](const auto& http, auto& response)
            {
                answer(
                    response,
                    edits.set(
                        kind, http.matches[1], http.body, this->who(http)));
            }));
    this->server.Delete(
        one,
        this->guarded(
            [this, &edits, kind](const auto& http, auto& response)
            {
                answer(
                    response,
                    edits.remove(
                        kind, http.matches[1], http.body, this->who(http)));
            }));
}

void admin_api::route()
{
    this->route_entries("/v1/plans", entry_kind::plan);
    this->route_entries("/v1/entitlements", entry_kind::entitlement);
    this->route_entries("/v1/marks", entry_kind::mark);
    this->server.Get(
        "/v1/audit",
        this->guarded(
            [this](const auto&, auto& response)
            {
                answer(response, this->used.edits.audit());
            }));
    this->server.Get(
        "/v1/servers",
        this->guarded(
            [this](const auto&, auto& response)
            {
                response.set_content(this->used.servers(), json_type);
            }));
    this->server.Get(
        "/v1/status",
        this->guarded(
            [this](const auto&, auto& response)
            {
                response.set_content(this->used.status(), json_type);
            }));
    this->server.Get(
        "/metrics",
        this->guarded(
            [this](const auto&, auto& response)
            {
                response.set_content(
                    this->used.metrics(), "text/plain; version=0.0.4");
            }));
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
            const bool ready = this->used.ready();
            response.status = ready ? ok : service_unavailable;
            response.set_content(
                ready ? "ready\n" : "not ready\n", "text/plain");
        });
}

bool admin_api::start()
{
    if (!this->server.bind(this->chosen.listen.host, this->chosen.listen.port))
    {
        return false;
    }
    this->server.start();
    return true;
}

void admin_api::stop()
{
    this->server.shut_down();
}

} // namespace fireflysail
