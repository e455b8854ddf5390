#pragma once

#include "api/completion_handler.hpp"
#include "metrics/request_metrics.hpp"
#include "serving/service_runner.hpp"

#include <httplib.h>

namespace fireflysail
{

/// Answers calls to plain services.
class service_handler
{
public:
    service_handler(
        service_runner& runner, limit_gate& limits, request_metrics& metrics);

    /// `http.path` is /v1/services/<service>/<path>.
    void handle(
        const httplib::Request& http,
        httplib::Response& response,
        const request_context& context);

private:
    service_runner& runner;
    limit_gate& limits;
    request_metrics& metrics;
};

} // namespace fireflysail
