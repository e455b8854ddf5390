#pragma once

#include "common/log.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflysail
{

/// Exit codes of every command.
enum class exit_code
{
    ok = 0,
    /// The command could not be carried out.
    failure = 1,
    /// Wrong arguments or settings; nothing was done.
    usage = 2,
    /// The entry has changed since the version that the edit was based on.
    conflict = 3,
    /// Whether the edit took effect is not known; send it again with its id.
    unknown = 4,
};

struct serve_command
{
    std::string settings_file;
    log::level lowest = log::level::info;
    log::format format = log::format::text;
};

/// Serves on the users' platform.
struct relay_command
{
    /// Empty: the path that the environment names.
    std::string node_file;
    /// Zero: metrics at the node's control address only.
    int metrics_port = 0;
    /// Second copies of idempotent requests, as a share of the requests for a
    /// service; none if zero.
    double hedge_limit = 0;
    log::level lowest = log::level::info;
};

struct check_settings_command
{
    std::string settings_file;
};

struct version_command
{
};

struct help_command
{
    std::string text;
};

/// Where the admin port of an instance is, and how to show what it answers.
struct admin_target
{
    std::string host;
    int port = 0;
    std::string credential;
    bool json = false;
};

/// One request to the admin port.
struct admin_command
{
    admin_target target;
    std::string method;
    std::string path;
    std::string body;
    std::string user;
};

struct usage_error
{
    std::string message;
};

using command = std::variant<
    serve_command,
    relay_command,
    check_settings_command,
    version_command,
    help_command,
    admin_command,
    usage_error>;

command parse_command(int argc, const char* const* argv);

} // namespace fireflysail
