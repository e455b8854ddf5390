#pragma once

#include "api/completion_handler.hpp"
#include "api/service_handler.hpp"
#include "blackboard/blackboard.hpp"
#include "http/server.hpp"
#include "serving/id_source.hpp"
#include "settings/settings.hpp"

#include <atomic>
#include <functional>

namespace fireflysail
{

/// The port for callers: docs/protocols/callers.md.
class caller_api
{
public:
    struct parts
    {
        const clock& time;
        const blackboard& board;
        id_source& ids;
        completion_service& completions;
        service_runner& services;
        limit_gate& limits;
        request_metrics& metrics;
        /// Whether this instance knows enough to serve.
        std::function<bool()> ready;
    };

    caller_api(const caller_api_settings& chosen, const parts& used);

    /// Begins to serve; false if the port cannot be bound.
    bool start();

    /// Answers new requests with "shutting_down" from now on.
    void refuse_new_work();

    /// Requests that are being served.
    std::size_t running() const;

    /// Ends once nothing runs any more.
    void stop();

private:
    using handler = std::function<void(
        const httplib::Request&, httplib::Response&, const request_context&)>;

    void route();
    void serve(
        const httplib::Request& http,
        httplib::Response& response,
        const handler& handle);
    void
    list_models(httplib::Response& response, const request_context& context);

    caller_api_settings chosen;
    parts used;
    completion_handler completions;
    service_handler services;
    std::atomic<bool> draining{false};
    http_server server;
};

} // namespace fireflysail
