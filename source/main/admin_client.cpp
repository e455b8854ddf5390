#include "main/admin_client.hpp"

#include "common/json_text.hpp"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::chrono::seconds answer_timeout{10};
constexpr int indent = 2;

exit_code exit_code_of(int status)
{
    switch (status)
    {
    case 200:
        return exit_code::ok;
    case 400:
    case 422:
        return exit_code::usage;
    case 409:
        return exit_code::conflict;
    case 504:
        return exit_code::unknown;
    default:
        return exit_code::failure;
    }
}

void print_entries(const json& entries)
{
    for (const json& entry : entries)
    {
        fmt::print(
            "{}\tversion {}\t{}\n",
            entry.value("name", ""),
            entry.value("version", 0),
            entry.contains("entry") ? entry["entry"].dump() : "malformed");
    }
}

void print_servers(const json& servers)
{
    for (const json& server : servers)
    {
        fmt::print(
            "{}\t{}\t{}\t{}\t{}\n",
            server.value("id", ""),
            server.value("address", ""),
            server.value("zone", ""),
            server.value("mark", ""),
            server.value("healthy", false) ? "healthy" : "unhealthy");
    }
}

void print_answer(const std::string& body, bool as_json)
{
    const auto document = parse_json(body);
    if (as_json || document.is_discarded())
    {
        fmt::print("{}\n", body);
        return;
    }
    if (document.is_array())
    {
        print_servers(document);
    }
    else if (document.contains("entries"))
    {
        print_entries(document["entries"]);
    }
    else
    {
        fmt::print("{}\n", document.dump(indent));
    }
}

} // namespace

exit_code run_admin_command(const admin_command& wanted)
{
    const auto& target = wanted.target;
    httplib::Client client{target.host, target.port};
    client.set_connection_timeout(answer_timeout);
    client.set_read_timeout(answer_timeout);
    client.set_url_encode(false);
    httplib::Request request;
    request.method = wanted.method;
    request.path = wanted.path;
    request.body = wanted.body;
    request.set_header("Authorization", "Bearer " + target.credential);
    if (!wanted.user.empty())
    {
        request.set_header("X-User", wanted.user);
    }
    if (!wanted.body.empty())
    {
        request.set_header("Content-Type", "application/json");
    }
    const auto answer = client.send(request);
    if (!answer)
    {
        fmt::print(
            stderr,
            "fireflysail: no answer from {}:{}: {}\n",
            target.host,
            target.port,
            httplib::to_string(answer.error()));
        // An edit that was sent may have taken effect.
        const bool sent = answer.error() != httplib::Error::Connection;
        return sent && wanted.method != "GET" ? exit_code::unknown
                                              : exit_code::failure;
    }
    print_answer(answer->body, target.json);
    return exit_code_of(answer->status);
}

} // namespace fireflysail
