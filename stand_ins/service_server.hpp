#pragma once

#include "common/identifiers.hpp"
#include "http/server.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace fireflysail
{

/// Stands in for a plain service: POST and other writing methods run an
/// action and count it, GET looks something up.
class service_stand_in
{
public:
    explicit service_stand_in(std::string id);

    bool start(const std::string& host, int port);
    void stop();
    int port() const;

private:
    void act(const httplib::Request& request, httplib::Response& response);
    void look_up(const httplib::Request& request, httplib::Response& response);
    void
    set_faults(const httplib::Request& request, httplib::Response& response);
    void show_truth(httplib::Response& response);
    void
    show_outcome(const httplib::Request& request, httplib::Response& response);

    std::string id;
    std::atomic<std::uint32_t> delay_ms{0};
    /// The next actions run, and their connections end without an answer.
    std::atomic<std::uint32_t> lost_answers{0};
    std::mutex mutex;
    std::uint64_t actions = 0;
    std::uint64_t lookups = 0;
    std::map<std::string, std::uint64_t> runs_by_key;
    std::map<std::string, std::string> answers_by_key;
    http_server server;
};

} // namespace fireflysail
