#include "main/relay_command.hpp"

#include "common/descriptor_limit.hpp"
#include "common/log.hpp"
#include "main/process_setup.hpp"
#include "main/relay_process.hpp"
#include "main/settings_wait.hpp"
#include "platform/config_codec.hpp"
#include "platform/engine_client.hpp"
#include "platform/header_codec.hpp"
#include "platform/names.hpp"
#include "platform/node_file.hpp"
#include "platform/object_store.hpp"
#include "platform/server_codec.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <thread>
#include <variant>

namespace fireflysail
{

namespace
{

/// For the log, and for people who start the program by hand.
void report(const std::vector<settings_mistake>& mistakes)
{
    log_mistakes(mistakes);
    for (const auto& mistake : mistakes)
    {
        fmt::print(
            stderr,
            "{}: {}\n",
            mistake.path.empty() ? "node file" : mistake.path,
            mistake.reason);
    }
}

/// Asks the system for the descriptors that the settings grant, and takes the
/// callers that fit into what it gives.
void claim_descriptors(node_settings& node)
{
    const std::uint32_t granted = raise_descriptor_limit(node.descriptors);
    if (granted < node.descriptors)
    {
        log::event(
            log::level::warning,
            log::channel::main,
            "few_descriptors",
            {{"settings", node.descriptors}, {"granted", granted}});
    }
    node.descriptors = granted;
}

traffic_objects platform_objects()
{
    return {
        std::string{platform::names::config_kind},
        std::string{platform::names::config_name},
        std::string{platform::names::servers_kind},
        platform::decode_config,
        platform::decode_server};
}

} // namespace

exit_code run_relay(const relay_command& wanted)
{
    share_memory_pools();
    ignore_write_signals();
    hold_signals();
    const std::string path = wanted.node_file.empty()
                                 ? platform::node_file_path()
                                 : wanted.node_file;
    if (path.empty())
    {
        fmt::print(
            stderr,
            "fireflysail: no node file is named, neither by --node-file nor by "
            "the environment\n");
        return exit_code::usage;
    }
    log::configure(wanted.lowest, log::format::json);
    log::start_background_output();
    const boot_clock time;
    const time_point started_at = time.now();
    auto loaded = await_node_settings(
        [&path]
        {
            return platform::load_node_file(path);
        },
        time,
        [](duration pause)
        {
            std::this_thread::sleep_for(pause);
        },
        is_stop_held);
    if (const auto* mistakes =
            std::get_if<std::vector<settings_mistake>>(&loaded))
    {
        const bool stops = is_stop_held();
        if (stops)
        {
            log::event(
                log::level::info,
                log::channel::main,
                "stopped",
                {{"reason", "told to before the settings were whole"}});
        }
        else
        {
            report(*mistakes);
        }
        log::finish_background_output();
        return stops ? exit_code::ok : exit_code::usage;
    }
    auto& node = std::get<node_settings>(loaded);
    node.metrics_port = wanted.metrics_port;
    node.hedge_limit = wanted.hedge_limit;
    claim_descriptors(node);
    platform::object_store objects{node.store, time};
    platform::object_store lagging_objects{
        node.store, time, platform::read_consistency::may_lag};
    platform::object_store lagging_watches{
        node.store, time, platform::read_consistency::may_lag};
    platform::engine_client engines;
    const platform::header_codec codec;
    relay_process process{
        node,
        {objects,
         lagging_objects,
         lagging_watches,
         engines,
         codec,
         platform_objects(),
         [path]() -> std::optional<node_settings>
         {
             auto again = platform::load_node_file(path);
             if (const auto* read = std::get_if<node_settings>(&again))
             {
                 return *read;
             }
             log_mistakes(std::get<std::vector<settings_mistake>>(again));
             return std::nullopt;
         }},
        started_at};
    release_signals();
    process.run();
    log::finish_background_output();
    return exit_code::ok;
}

} // namespace fireflysail
