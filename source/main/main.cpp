#include "common/log.hpp"
#include "main/admin_client.hpp"
#include "main/command_line.hpp"
#include "main/fatal_signals.hpp"
#include "main/load_client.hpp"
#include "main/process_setup.hpp"
#include "main/relay_command.hpp"
#include "main/serve.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <variant>

using namespace fireflysail;

namespace
{

constexpr auto version = "0.1.0";

struct command_runner
{
    exit_code operator()(const serve_command& wanted) const
    {
        return serve(wanted);
    }

    exit_code operator()(const relay_command& wanted) const
    {
        return run_relay(wanted);
    }

    exit_code operator()(const check_settings_command& wanted) const
    {
        return check_settings(wanted);
    }

    exit_code operator()(const version_command&) const
    {
        fmt::print("fireflysail {}\n", version);
        return exit_code::ok;
    }

    exit_code operator()(const help_command& wanted) const
    {
        fmt::print("{}", wanted.text);
        return exit_code::ok;
    }

    exit_code operator()(const admin_command& wanted) const
    {
        return run_admin_command(wanted);
    }

    exit_code operator()(const load_command& wanted) const
    {
        return run_load_command(wanted);
    }

    exit_code operator()(const usage_error& mistake) const
    {
        fmt::print(stderr, "fireflysail: {}\n", mistake.message);
        return exit_code::usage;
    }
};

} // namespace

int main(int argc, char** argv)
{
    open_standard_streams();
    report_fatal_signals(argc > 0 ? argv[0] : nullptr);
    log::report_uncaught_exceptions();
    return static_cast<int>(
        std::visit(command_runner{}, parse_command(argc, argv)));
}
