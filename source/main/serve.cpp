#include "main/serve.hpp"

#include "common/clock.hpp"
#include "common/log.hpp"
#include "main/instance.hpp"
#include "main/stop_signals.hpp"
#include "settings/load_settings.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <variant>

namespace fireflysail
{

namespace
{

constexpr std::chrono::milliseconds drain_poll{20};

exit_code report(const std::vector<settings_mistake>& mistakes)
{
    for (const auto& mistake : mistakes)
    {
        fmt::print(
            stderr,
            "{}: {}\n",
            mistake.path.empty() ? "settings" : mistake.path,
            mistake.reason);
    }
    return exit_code::usage;
}

/// Waits until nothing runs; false if a second signal or the limit came first.
bool drain(
    const instance& served,
    const stop_signals& signals,
    const fireflysail::clock& time,
    std::chrono::milliseconds limit)
{
    const auto end = time.now() + limit;
    while (served.running() > 0)
    {
        if (time.now() >= end || signals.wait_for(drain_poll))
        {
            return false;
        }
    }
    return true;
}

exit_code run(const settings& chosen)
{
    const stop_signals signals;
    const system_clock time;
    instance served{chosen, time};
    if (!served.start())
    {
        return exit_code::failure;
    }
    signals.wait();
    log::info(log::channel::main, "draining {} requests", served.running());
    served.begin_drain();
    // The balancer needs a moment to see that the instance is not ready; what
    // still arrives meanwhile is refused as not run.
    signals.wait_for(chosen.shutdown.notice);
    if (!drain(served, signals, time, chosen.shutdown.drain_limit))
    {
        log::warning(
            log::channel::main,
            "stopped; {} requests were cut off",
            served.running());
        // Threads that serve them cannot be joined in time.
        std::fflush(stderr);
        std::_Exit(static_cast<int>(exit_code::failure));
    }
    served.stop();
    log::info(log::channel::main, "stopped; nothing was cut off");
    return exit_code::ok;
}

} // namespace

exit_code serve(const serve_command& wanted)
{
    log::configure(wanted.lowest, wanted.format);
    auto outcome = load_settings(wanted.settings_file);
    if (const auto* mistakes =
            std::get_if<std::vector<settings_mistake>>(&outcome))
    {
        return report(*mistakes);
    }
    return run(std::get<settings>(outcome));
}

exit_code check_settings(const check_settings_command& wanted)
{
    const auto outcome = load_settings(wanted.settings_file);
    if (const auto* mistakes =
            std::get_if<std::vector<settings_mistake>>(&outcome))
    {
        return report(*mistakes);
    }
    fmt::print("{}: no mistakes\n", wanted.settings_file);
    return exit_code::ok;
}

} // namespace fireflysail
