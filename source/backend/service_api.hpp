#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflysail
{

struct header_field
{
    std::string name;
    std::string value;
};

/// A caller's request to a plain service.
struct service_request
{
    request_id request;
    std::string method;
    /// Path with its query, beginning with '/'.
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    std::string content_type;
    std::optional<idempotency_key> key;
};

struct service_response
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// Why there is no answer.
enum class service_failure
{
    /// Nothing of the request reached the backend server.
    not_sent,
    /// The request may have run.
    no_answer,
};

using service_result = std::variant<service_response, service_failure>;

/// What the router needs from a backend server of a plain service.
class service_api
{
public:
    virtual ~service_api() = default;

    /// Sends the request once, on a connection of its own.
    virtual service_result call(
        const endpoint& address,
        const service_request& request,
        duration timeout) = 0;

    /// Answer that the service remembers for `key`; a response with status 404
    /// when the service does not know the key.
    virtual service_result look_up(
        const endpoint& address,
        const idempotency_key& key,
        duration timeout) = 0;
};

} // namespace fireflysail
