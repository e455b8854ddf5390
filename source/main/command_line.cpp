#include "main/command_line.hpp"

#include "http/percent_encoding.hpp"
#include "routing/hedge_limit.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr int highest_port = 65'535;

constexpr std::string_view general_help =
    "fireflysail: router for pipelines over mixed accelerators\n"
    "\n"
    "  fireflysail serve --settings FILE\n"
    "  fireflysail relay [--node-file FILE]\n"
    "  fireflysail check-settings FILE\n"
    "  fireflysail plan get|list|set|delete [WORKSPACE]\n"
    "  fireflysail entitlement get|list|set|delete [PLAN]\n"
    "  fireflysail server list\n"
    "  fireflysail server mark NAME joining|serving|leaving|stopping\n"
    "  fireflysail status\n"
    "  fireflysail version\n"
    "\n"
    "Each command tells more with --help. Exit codes: 0 done, 1 failed,\n"
    "2 wrong arguments or settings, 3 conflict with another edit,\n"
    "4 outcome of an edit unknown: send it again with the same --edit-id.\n";

/// A mistake in the arguments, with the argument at fault.
struct argument_error
{
    std::string message;
};

using words = std::vector<std::string>;

cxxopts::Options make_options(const std::string& name, const char* what)
{
    cxxopts::Options options{"fireflysail " + name, what};
    options.add_options()("help", "Show this help");
    return options;
}

void add_target_options(cxxopts::Options& options)
{
    auto add = options.add_options();
    add("admin",
        "Admin port of an instance",
        cxxopts::value<std::string>()->default_value("127.0.0.1:9001"),
        "HOST:PORT");
    add("credential-file",
        "File with the operators' credential; else the variable "
        "FIREFLYSAIL_ADMIN_CREDENTIAL",
        cxxopts::value<std::string>(),
        "FILE");
    add("json", "Print the answer as JSON");
}

void add_edit_options(cxxopts::Options& options)
{
    auto add = options.add_options();
    add("entry",
        "The entry as a JSON document, or @FILE",
        cxxopts::value<std::string>(),
        "JSON");
    add("based-on",
        "Version that the edit is based on; 0 for a new entry",
        cxxopts::value<std::uint64_t>(),
        "VERSION");
    add("edit-id",
        "Id of the edit, the same for a resend",
        cxxopts::value<std::string>(),
        "ID");
    add("user",
        "Who edits, for the audit trail",
        cxxopts::value<std::string>()->default_value("operator"),
        "NAME");
}

std::string read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        throw argument_error{fmt::format("the file {} cannot be read", path)};
    }
    return {std::istreambuf_iterator<char>{file}, {}};
}

std::string read_credential(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("credential-file") > 0)
    {
        auto text = read_file(arguments["credential-file"].as<std::string>());
        while (text.ends_with('\n') || text.ends_with('\r'))
        {
            text.pop_back();
        }
        return text;
    }
    const char* variable = std::getenv("FIREFLYSAIL_ADMIN_CREDENTIAL");
    if (variable == nullptr)
    {
        throw argument_error{
            "--credential-file is missing, and FIREFLYSAIL_ADMIN_CREDENTIAL "
            "is not set"};
    }
    return variable;
}

admin_target read_target(const cxxopts::ParseResult& arguments)
{
    const auto address = arguments["admin"].as<std::string>();
    const auto colon = address.rfind(':');
    admin_target target;
    const auto port_text =
        colon == std::string::npos ? "" : address.substr(colon + 1);
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, target.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || target.port < 1 ||
        target.port > highest_port)
    {
        throw argument_error{
            fmt::format("--admin {}: must be HOST:PORT", address)};
    }
    target.host = address.substr(0, colon);
    target.credential = read_credential(arguments);
    target.json = arguments.count("json") > 0;
    return target;
}

json read_entry(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("entry") == 0)
    {
        throw argument_error{"--entry is missing"};
    }
    auto text = arguments["entry"].as<std::string>();
    if (text.starts_with('@'))
    {
        text = read_file(text.substr(1));
    }
    auto entry = json::parse(text, nullptr, false, true);
    if (!entry.is_object())
    {
        throw argument_error{"--entry: must be a JSON object"};
    }
    return entry;
}

json describe_edit(const cxxopts::ParseResult& arguments, bool needs_base)
{
    json edit = json::object();
    if (arguments.count("based-on") > 0)
    {
        edit["based_on"] = arguments["based-on"].as<std::uint64_t>();
    }
    else if (needs_base)
    {
        throw argument_error{"--based-on is missing"};
    }
    if (arguments.count("edit-id") > 0)
    {
        edit["edit_id"] = arguments["edit-id"].as<std::string>();
    }
    return edit;
}

void expect_words(const words& given, std::size_t count, const char* what)
{
    if (given.size() < count)
    {
        throw argument_error{fmt::format("{} is missing", what)};
    }
    if (given.size() > count)
    {
        throw argument_error{
            fmt::format("unexpected argument {}", given.back())};
    }
}

/// Parses the options of one command; its other words stand in `rest`.
class parsed_command
{
public:
    parsed_command(cxxopts::Options& options, const words& given)
    {
        options.add_options("hidden")(
            "rest", "", cxxopts::value<std::vector<std::string>>());
        options.parse_positional({"rest"});
        std::vector<const char*> raw{"fireflysail"};
        std::ranges::transform(
            given, std::back_inserter(raw), &std::string::c_str);
        this->arguments =
            options.parse(static_cast<int>(raw.size()), raw.data());
        if (this->arguments.count("rest") > 0)
        {
            this->rest = this->arguments["rest"].as<words>();
        }
        if (this->arguments.count("help") > 0)
        {
            this->help = options.help({""});
        }
    }

    cxxopts::ParseResult arguments;
    words rest;
    std::optional<std::string> help;
};

log::level read_level(const cxxopts::ParseResult& arguments)
{
    constexpr std::array<std::string_view, 4> levels{
        "debug", "info", "warning", "error"};
    const auto level = arguments["log-level"].as<std::string>();
    const auto found = std::ranges::find(levels, level);
    if (found == levels.end())
    {
        throw argument_error{fmt::format(
            "--log-level {}: must be debug, info, warning or error", level)};
    }
    return static_cast<log::level>(std::distance(levels.begin(), found));
}

double read_hedge_limit(const cxxopts::ParseResult& arguments)
{
    const auto text = arguments["hedge-limit"].as<std::string>();
    double share = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, share);
    // Not a number compares as out of bounds, too.
    const bool is_valid = parsed.ec == std::errc{} && parsed.ptr == end &&
                          share >= 0 && share <= hedge_limit::max_share;
    if (!is_valid)
    {
        throw argument_error{fmt::format(
            "--hedge-limit {}: must be a share from 0 to {}",
            text,
            hedge_limit::max_share)};
    }
    return share;
}

command parse_relay(const words& given)
{
    auto options =
        make_options("relay", "Runs an instance on the users' platform");
    auto add = options.add_options();
    add("node-file",
        "Node file; else the one that the environment names",
        cxxopts::value<std::string>()->default_value(""),
        "FILE");
    add("metrics-port",
        "Serves metrics at this port too; 0: only at the control address",
        cxxopts::value<int>()->default_value("0"),
        "PORT");
    add("hedge-limit",
        "Second copies of idempotent requests that are not answered in time, "
        "as a share of the requests for a service over all instances, 0 to "
        "0.2; 0: none",
        cxxopts::value<std::string>()->default_value("0"),
        "SHARE");
    add("log-level",
        "debug, info, warning or error",
        cxxopts::value<std::string>()->default_value("info"));
    const parsed_command parsed{options, given};
    if (parsed.help)
    {
        return help_command{*parsed.help};
    }
    expect_words(parsed.rest, 0, "");
    const int metrics_port = parsed.arguments["metrics-port"].as<int>();
    if (metrics_port < 0 || metrics_port > highest_port)
    {
        throw argument_error{
            fmt::format("--metrics-port {}: no port", metrics_port)};
    }
    return relay_command{
        parsed.arguments["node-file"].as<std::string>(),
        metrics_port,
        read_hedge_limit(parsed.arguments),
        read_level(parsed.arguments)};
}

command parse_serve(const words& given)
{
    auto options = make_options("serve", "Runs an instance");
    auto add = options.add_options();
    add("settings", "Settings file", cxxopts::value<std::string>(), "FILE");
    add("log-level",
        "debug, info, warning or error",
        cxxopts::value<std::string>()->default_value("info"));
    add("log-format",
        "text or json",
        cxxopts::value<std::string>()->default_value("text"));
    const parsed_command parsed{options, given};
    if (parsed.help)
    {
        return help_command{*parsed.help};
    }
    expect_words(parsed.rest, 0, "");
    if (parsed.arguments.count("settings") == 0)
    {
        throw argument_error{"--settings is missing"};
    }
    const auto format = parsed.arguments["log-format"].as<std::string>();
    if (format != "text" && format != "json")
    {
        throw argument_error{
            fmt::format("--log-format {}: must be text or json", format)};
    }
    return serve_command{
        parsed.arguments["settings"].as<std::string>(),
        read_level(parsed.arguments),
        format == "json" ? log::format::json : log::format::text};
}

command parse_check_settings(const words& given)
{
    auto options =
        make_options("check-settings FILE", "Reports every mistake in FILE");
    const parsed_command parsed{options, given};
    if (parsed.help)
    {
        return help_command{*parsed.help};
    }
    expect_words(parsed.rest, 1, "FILE");
    return check_settings_command{parsed.rest.front()};
}

command parse_status(const words& given)
{
    auto options = make_options("status", "Shows what an instance knows");
    add_target_options(options);
    const parsed_command parsed{options, given};
    if (parsed.help)
    {
        return help_command{*parsed.help};
    }
    expect_words(parsed.rest, 0, "");
    return admin_command{
        read_target(parsed.arguments), "GET", "/v1/status", "", ""};
}

/// `plan` and `entitlement`: the same verbs on two lists.
command
parse_list(const std::string& noun, const std::string& path, const words& given)
{
    auto options = make_options(
        noun + " get|list|set|delete [NAME]", "Shows and edits one list");
    add_target_options(options);
    add_edit_options(options);
    const parsed_command parsed{options, given};
    if (parsed.help)
    {
        return help_command{*parsed.help};
    }
    if (parsed.rest.empty())
    {
        throw argument_error{"get, list, set or delete is missing"};
    }
    const auto& verb = parsed.rest.front();
    const auto& arguments = parsed.arguments;
    const auto user = arguments["user"].as<std::string>();
    if (verb == "list")
    {
        expect_words(parsed.rest, 1, "");
        return admin_command{read_target(arguments), "GET", path, "", user};
    }
    if (verb != "get" && verb != "set" && verb != "delete")
    {
        throw argument_error{
            fmt::format("{}: must be get, list, set or delete", verb)};
    }
    expect_words(parsed.rest, 2, "NAME");
    const auto one = path + "/" + percent_encode(parsed.rest[1]);
    if (verb == "get")
    {
        return admin_command{read_target(arguments), "GET", one, "", user};
    }
    auto edit = describe_edit(arguments, true);
    if (verb == "set")
    {
        edit["entry"] = read_entry(arguments);
    }
    return admin_command{
        read_target(arguments),
        verb == "set" ? "PUT" : "DELETE",
        one,
        edit.dump(),
        user};
}

command parse_server(const words& given)
{
    auto options = make_options(
        "server list | mark NAME joining|serving|leaving|stopping",
        "Shows and marks backend servers");
    add_target_options(options);
    add_edit_options(options);
    const parsed_command parsed{options, given};
    if (parsed.help)
    {
        return help_command{*parsed.help};
    }
    if (parsed.rest.empty())
    {
        throw argument_error{"list or mark is missing"};
    }
    const auto& arguments = parsed.arguments;
    const auto user = arguments["user"].as<std::string>();
    if (parsed.rest.front() == "list")
    {
        expect_words(parsed.rest, 1, "");
        return admin_command{
            read_target(arguments), "GET", "/v1/servers", "", user};
    }
    if (parsed.rest.front() != "mark")
    {
        throw argument_error{
            fmt::format("{}: must be list or mark", parsed.rest.front())};
    }
    expect_words(parsed.rest, 3, "NAME or the mark");
    auto edit = describe_edit(arguments, false);
    edit["entry"] = {{"mark", parsed.rest[2]}};
    return admin_command{
        read_target(arguments),
        "PUT",
        "/v1/marks/" + percent_encode(parsed.rest[1]),
        edit.dump(),
        user};
}

command parse_named(const std::string& name, const words& rest)
{
    if (name == "serve")
    {
        return parse_serve(rest);
    }
    if (name == "relay")
    {
        return parse_relay(rest);
    }
    if (name == "check-settings")
    {
        return parse_check_settings(rest);
    }
    if (name == "plan")
    {
        return parse_list("plan", "/v1/plans", rest);
    }
    if (name == "entitlement")
    {
        return parse_list("entitlement", "/v1/entitlements", rest);
    }
    if (name == "server")
    {
        return parse_server(rest);
    }
    if (name == "status")
    {
        return parse_status(rest);
    }
    if (name == "version" || name == "--version")
    {
        return version_command{};
    }
    if (name == "help" || name == "--help" || name == "-h")
    {
        return help_command{std::string{general_help}};
    }
    throw argument_error{fmt::format("unknown command {}", name)};
}

} // namespace

command parse_command(int argc, const char* const* argv)
{
    const words given{argv + std::min(argc, 1), argv + argc};
    if (given.empty())
    {
        return usage_error{"a command is missing; see fireflysail --help"};
    }
    try
    {
        return parse_named(given.front(), {given.begin() + 1, given.end()});
    }
    catch (const argument_error& error)
    {
        return usage_error{error.message};
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        return usage_error{error.what()};
    }
}

} // namespace fireflysail
