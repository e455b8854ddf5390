#pragma once

#include "relay/backend_connection.hpp"

#include <string>
#include <string_view>

namespace fireflysail
{

/// Turns a target in absolute form (http://host/path) into origin form, and
/// puts its host into the field Host.
void use_origin_form(http_request& request);

/// In lower case and without a port.
std::string host_of(const http_request& request);

/// The target without its query.
std::string_view path_of(const http_request& request);

} // namespace fireflysail
