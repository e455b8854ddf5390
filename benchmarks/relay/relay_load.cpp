#include <cxxopts.hpp>
#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace
{

using steady = std::chrono::steady_clock;

/// What the streams of one run measured.
struct totals
{
    std::mutex mutex;
    std::vector<double> first_token_ms;
    std::atomic<std::uint64_t> tokens{0};
    std::atomic<std::uint64_t> failed{0};
};

struct load
{
    std::string host;
    int port = 0;
    std::string path;
    std::string credential;
    std::string body;
    int streams = 0;
    int rounds = 0;
};

/// Counts the token events of the bytes: every event but the last two of a
/// stream carries one, and events are told apart by their blank lines.
std::uint64_t count_events(std::string_view bytes, char& previous)
{
    std::uint64_t events = 0;
    for (const char c : bytes)
    {
        events += c == '\n' && previous == '\n' ? 1 : 0;
        previous = c;
    }
    return events;
}

void run_stream(const load& wanted, totals& measured)
{
    httplib::Client client{wanted.host, wanted.port};
    client.set_read_timeout(60);
    client.set_tcp_nodelay(true);
    httplib::Request request;
    request.method = "POST";
    request.path = wanted.path;
    request.body = wanted.body;
    request.set_header("Content-Type", "application/json");
    request.set_header("Authorization", "Bearer " + wanted.credential);
    const auto began = steady::now();
    double first_ms = -1;
    char previous = 0;
    std::uint64_t events = 0;
    request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (first_ms < 0)
        {
            first_ms =
                std::chrono::duration<double, std::milli>{steady::now() - began}
                    .count();
        }
        events += count_events({data, size}, previous);
        return true;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    const bool whole = client.send(request, response, error);
    if (!whole || response.status != 200)
    {
        ++measured.failed;
        return;
    }
    measured.tokens += events;
    const std::lock_guard lock{measured.mutex};
    measured.first_token_ms.push_back(first_ms);
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * part)];
}

load read_load(const cxxopts::ParseResult& arguments)
{
    return {
        "127.0.0.1",
        arguments["port"].as<int>(),
        arguments["path"].as<std::string>(),
        arguments["credential"].as<std::string>(),
        arguments["body"].as<std::string>(),
        arguments["streams"].as<int>(),
        arguments["rounds"].as<int>()};
}

} // namespace

/// Holds a number of token streams open at once and prints one JSON line.
int main(int argc, char** argv)
{
    cxxopts::Options options{"relay_load", "Load of concurrent streams"};
    auto add = options.add_options();
    add("port", "", cxxopts::value<int>());
    add("path", "", cxxopts::value<std::string>());
    add("credential", "", cxxopts::value<std::string>()->default_value("none"));
    add("body", "", cxxopts::value<std::string>());
    add("streams", "", cxxopts::value<int>()->default_value("200"));
    add("rounds", "", cxxopts::value<int>()->default_value("1"));
    const auto wanted = read_load(options.parse(argc, argv));

    totals measured;
    const auto began = steady::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(wanted.streams));
    for (int i = 0; i < wanted.streams; ++i)
    {
        threads.emplace_back(
            [&wanted, &measured]
            {
                for (int round = 0; round < wanted.rounds; ++round)
                {
                    run_stream(wanted, measured);
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    const std::chrono::duration<double> took = steady::now() - began;
    fmt::print(
        "{{\"tokens\":{},\"failed\":{},\"seconds\":{:.3f},"
        "\"first_token_p50_ms\":{:.2f},\"first_token_p99_ms\":{:.2f}}}\n",
        measured.tokens.load(),
        measured.failed.load(),
        took.count(),
        percentile(measured.first_token_ms, 0.5),
        percentile(measured.first_token_ms, 0.99));
    return 0;
}
