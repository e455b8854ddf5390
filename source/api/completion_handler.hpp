#pragma once

#include "api/authentication.hpp"
#include "api/completion_codec.hpp"
#include "cluster/limit_gate.hpp"
#include "common/clock.hpp"
#include "metrics/request_metrics.hpp"
#include "serving/completion_service.hpp"

#include <httplib.h>

namespace fireflysail
{

/// What is known of a request before its body is read.
struct request_context
{
    request_id id;
    authenticated_caller caller;
    time_point began;
    time_point deadline;
};

/// Answers completions, streamed or whole.
class completion_handler
{
public:
    completion_handler(
        completion_service& service,
        limit_gate& limits,
        request_metrics& metrics,
        const clock& time,
        const completion_limits& bounds);

    void handle(
        const httplib::Request& http,
        httplib::Response& response,
        const request_context& context,
        completion_shape shape);

private:
    void stream(
        httplib::Response& response,
        std::shared_ptr<completion_job> job,
        std::shared_ptr<limit_gate::hold> hold,
        const completion_request& request,
        time_point began,
        completion_shape shape);
    void whole(
        httplib::Response& response,
        completion_job& job,
        limit_gate::hold& hold,
        const completion_request& request,
        time_point began,
        completion_shape shape);
    void note(
        const completion_request& request,
        time_point began,
        const outcome& how);

    completion_service& service;
    limit_gate& limits;
    request_metrics& metrics;
    const clock& time;
    completion_limits bounds;
};

/// Counts how a request ended.
void count_outcome(request_metrics& metrics, const outcome& how);

} // namespace fireflysail
