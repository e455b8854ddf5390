#include "main/load_client.hpp"

#include "main/load_report.hpp"

#include <fmt/format.h>
#include <httplib.h>

#include <chrono>
#include <cstdio>

namespace fireflysail
{

namespace
{

constexpr std::chrono::seconds answer_timeout{10};
constexpr int status_ok = 200;

} // namespace

exit_code run_load_command(const load_command& wanted)
{
    httplib::Client client{wanted.host, wanted.port};
    client.set_connection_timeout(answer_timeout);
    client.set_read_timeout(answer_timeout);
    const auto answer = client.Get("/metrics");
    if (!answer || answer->status != status_ok)
    {
        fmt::print(
            stderr,
            "fireflysail: no metrics from {}:{}: {}\n",
            wanted.host,
            wanted.port,
            answer ? fmt::format("status {}", answer->status)
                   : httplib::to_string(answer.error()));
        return exit_code::failure;
    }
    const auto report = parse_load_report(answer->body);
    if (const auto missing = find_missing_load(report))
    {
        fmt::print(stderr, "fireflysail: {}\n", *missing);
        return exit_code::failure;
    }
    fmt::print("{}", format_load_report(report));
    return exit_code::ok;
}

} // namespace fireflysail
