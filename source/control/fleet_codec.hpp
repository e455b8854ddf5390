#pragma once

#include "blackboard/fleet.hpp"
#include "common/result.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace fireflysail
{

inline constexpr const char* server_kind = "server";
inline constexpr const char* mark_kind = "mark";
inline constexpr const char* model_kind = "model";
inline constexpr const char* link_kind = "link";

/// Registration of a backend server in the store.
using server_registration = std::variant<engine, service_server>;

/// Decode stored objects. Return errc::malformed unless every field is valid.
result<server_registration>
decode_server(const std::string& id, std::string_view value);
result<model_shape> decode_model(const std::string& id, std::string_view value);

/// `name` is "<zone>~<zone>".
result<zone_link> decode_link(const std::string& name, std::string_view value);

std::string encode(const server_registration& server);
std::string encode(const model_shape& model);
std::string encode(const zone_link& link);

std::string link_name(const zone_link& link);

std::string_view to_string(server_mark mark);
std::string_view to_string(server_role role);
result<server_mark> parse_server_mark(std::string_view text);
result<server_role> parse_server_role(std::string_view text);

} // namespace fireflysail
