#pragma once

#include "blackboard/blackboard.hpp"
#include "control/edit_api.hpp"
#include "http/server.hpp"
#include "settings/settings.hpp"

#include <functional>
#include <string>

namespace fireflysail
{

/// The port for operators: docs/protocols/admin.md. Nothing on it answers
/// without the credential, but /livez and /readyz say nothing else.
class admin_api
{
public:
    struct parts
    {
        const blackboard& board;
        edit_api& edits;
        /// Document of /v1/servers.
        std::function<std::string()> servers;
        /// Document of /v1/status.
        std::function<std::string()> status;
        /// Document of /metrics.
        std::function<std::string()> metrics;
        std::function<bool()> ready;
    };

    admin_api(const admin_api_settings& chosen, const parts& used);

    /// Begins to serve; false if the port cannot be bound.
    bool start();

    void stop();

private:
    using handler =
        std::function<void(const httplib::Request&, httplib::Response&)>;

    void route();
    void route_entries(const std::string& path, entry_kind kind);
    handler guarded(handler handle) const;
    operator_identity who(const httplib::Request& http) const;

    admin_api_settings chosen;
    parts used;
    std::string credential_digest;
    http_server server;
};

} // namespace fireflysail
