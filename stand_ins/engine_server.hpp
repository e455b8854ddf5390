#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "engine_faults.hpp"
#include "http/server.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace fireflysail
{

struct engine_stand_in_options
{
    server_id id;
    endpoint listen;
    holding holds;
    std::uint32_t slots = 64;
    /// Time of one decoding step, and of prefill, through the layers held.
    std::chrono::microseconds step_time{1'000};
    std::chrono::microseconds prefill_time_per_token{10};
    fencing_support fencing = fencing_support::ignores;
};

/// Stands in for a model engine: docs/protocols/engines.md, over HTTP.
class engine_stand_in
{
public:
    explicit engine_stand_in(engine_stand_in_options options);

    bool start();
    void stop();
    int port() const;

private:
    struct generation;

    void generate(const httplib::Request& request, httplib::Response& response);
    bool run(const generation& job, httplib::DataSink& sink);
    bool run_last_stage(const generation& job, httplib::DataSink& sink);
    bool forward(const generation& job, httplib::DataSink& sink);
    bool relay(
        const generation& job, std::string_view data, httplib::DataSink& sink);
    bool wait_prefill(const generation& job, httplib::DataSink& sink);
    bool send_token(
        const generation& job, std::uint32_t index, httplib::DataSink& sink);
    void order(const httplib::Request& request, httplib::Response& response);
    void note_run(const generation& job, std::uint32_t index);
    nlohmann::json load();
    nlohmann::json truth();

    engine_stand_in_options options;
    engine_faults faults;
    std::atomic<std::uint32_t> running{0};
    std::atomic<std::uint32_t> sent_tokens{0};
    std::mutex mutex;
    /// Tokens of each request whose KV cache is kept here.
    std::map<std::string, std::uint32_t> kept_tokens;
    /// Tokens run by attempt, for the check of a test.
    std::map<std::string, std::uint32_t> run_tokens;
    std::uint64_t highest_fencing = 0;
    nlohmann::json desired;
    http_server server;
};

} // namespace fireflysail
