#pragma once

#include "common/identifiers.hpp"
#include "routing/outcome.hpp"

#include <httplib.h>

#include <string>
#include <string_view>

namespace fireflysail
{

/// An error as callers see it.
struct api_error
{
    int status = 500;
    /// Stable word for programs, e.g. "unknown_model".
    std::string code;
    std::string message;
    /// "did_not_run", "unknown" or "failed".
    std::string_view outcome = "did_not_run";
    duration retry_after{};
};

api_error describe(const outcome& how);

std::string to_json(const api_error& error, const request_id& id);

/// Answers with the error as JSON, with Retry-After where there is advice.
void respond(
    httplib::Response& response, const api_error& error, const request_id& id);

} // namespace fireflysail
