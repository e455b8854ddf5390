#include "engine_model.hpp"
#include "engine_server.hpp"
#include "service_server.hpp"
#include "store_server.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <string>

using namespace fireflysail;

namespace
{

void wait_for_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int taken = 0;
    sigwait(&signals, &taken);
}

void block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int run_store(int port)
{
    store_server store{port};
    if (!store.start())
    {
        return 1;
    }
    fmt::print("store ready on {}\n", store.port());
    std::fflush(stdout);
    wait_for_signal();
    store.stop();
    return 0;
}

int run_engine(const cxxopts::ParseResult& arguments)
{
    engine_stand_in_options options;
    options.id = server_id{arguments["id"].as<std::string>()};
    options.listen = {"127.0.0.1", arguments["port"].as<int>()};
    options.holds = {
        model_id{arguments["model"].as<std::string>()},
        model_version{arguments["model-version"].as<std::string>()},
        {layer_index{arguments["first"].as<std::uint32_t>()},
         layer_index{arguments["last"].as<std::uint32_t>()}},
        {}};
    options.slots = arguments["slots"].as<std::uint32_t>();
    options.step_time =
        std::chrono::microseconds{arguments["step-us"].as<int>()};
    options.prefill_time_per_token =
        std::chrono::microseconds{arguments["prefill-us"].as<int>()};
    if (arguments.count("refuses-old-fencing") > 0)
    {
        options.fencing = fencing_support::refuses_old;
    }
    engine_stand_in engine{options};
    if (!engine.start())
    {
        return 1;
    }
    fmt::print("engine {} ready\n", options.id.str());
    std::fflush(stdout);
    wait_for_signal();
    engine.stop();
    return 0;
}

int run_service(const cxxopts::ParseResult& arguments)
{
    service_stand_in service{arguments["id"].as<std::string>()};
    if (!service.start("127.0.0.1", arguments["port"].as<int>()))
    {
        return 1;
    }
    fmt::print("service ready\n");
    std::fflush(stdout);
    wait_for_signal();
    service.stop();
    return 0;
}

/// Prints the whole right answer to each prompt: lines of "COUNT PROMPT" in,
/// one answer a line out.
int print_answers()
{
    std::uint32_t count = 0;
    std::string prompt;
    while (std::cin >> count && std::getline(std::cin >> std::ws, prompt))
    {
        fmt::print("{}\n", stand_in_answer(prompt, count));
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{
        "fireflysail_stand_ins", "store|engine|service|answers"};
    auto add = options.add_options();
    add("role", "", cxxopts::value<std::string>());
    add("port", "", cxxopts::value<int>()->default_value("0"));
    add("id", "", cxxopts::value<std::string>()->default_value("stand-in"));
    add("model", "", cxxopts::value<std::string>()->default_value("m"));
    add("model-version", "", cxxopts::value<std::string>()->default_value("1"));
    add("first", "", cxxopts::value<std::uint32_t>()->default_value("0"));
    add("last", "", cxxopts::value<std::uint32_t>()->default_value("32"));
    add("slots", "", cxxopts::value<std::uint32_t>()->default_value("64"));
    add("step-us", "", cxxopts::value<int>()->default_value("1000"));
    add("prefill-us", "", cxxopts::value<int>()->default_value("10"));
    add("refuses-old-fencing", "");
    options.parse_positional({"role"});
    block_signals();
    try
    {
        const auto arguments = options.parse(argc, argv);
        const auto role = arguments["role"].as<std::string>();
        if (role == "store")
        {
            return run_store(arguments["port"].as<int>());
        }
        if (role == "engine")
        {
            return run_engine(arguments);
        }
        if (role == "answers")
        {
            return print_answers();
        }
        if (role == "service")
        {
            return run_service(arguments);
        }
        fmt::print(stderr, "unknown role {}\n", role);
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "{}\n", error.what());
    }
    return 2;
}
