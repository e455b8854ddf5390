#pragma once

#include "platform/header_codec.hpp"
#include "relay/caller_session.hpp"
#include "relay/scripted_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fireflysail
{

/// Engines that are not asked anything.
class silent_engines final : public engine_control
{
public:
    result<engine_condition> status(const engine& server) override;

    result<engine_health> health(const engine& server) override;

    order_outcome
    place(const engine& server, const placement_order& order) override;
};

/// What a caller got: the parsed answer, or nothing if it broke off.
struct received_answer
{
    bool whole = false;
    unsigned status = 0;
    http_fields header;
    std::string body;
};

/// A relay for one caller, before scripted servers.
class relay_fixture
{
public:
    relay_fixture();

    scripted_server& add_desk(const std::string& id, scripted_server::script);

    /// An engine that holds the whole model, in a zone of its own.
    scripted_server& add_engine(const std::string& id, scripted_server::script);

    /// A server for the requests to `path`: an engine or a desk.
    scripted_server&
    add(const std::string& path,
        const std::string& id,
        scripted_server::script);

    /// Sends the requests on one connection, one after the other.
    std::vector<received_answer> ask(const std::vector<std::string>& requests);

    /// Sends each request on a connection of its own, all at once.
    std::vector<received_answer>
    ask_together(const std::vector<std::string>& requests);

    static std::string
    get(const std::string& path, const std::string& more_fields = {});

    asio::io_context io{1};
    system_clock time;
    node_settings node;
    blackboard board;
    silent_engines engines;
    std::shared_ptr<traffic_config> config;
    bool store_is_lost = false;
    /// Of the view of the configuration.
    std::optional<duration> config_age = duration::zero();
    /// Who sends the requests.
    request_source source = request_source::caller;
    /// Boots of servers that said that they leave.
    std::vector<std::pair<server_id, std::uint64_t>> leaving;
    /// The instance began to stop so long ago, and ends after the grace.
    std::optional<duration> stopping_for;

    /// Callers wait so long before each request.
    duration idle_time{};
    /// Called after that, just before the request is sent.
    std::function<void()> after_idle_time = [] {};

    /// Called before the requests are sent.
    std::function<void(relay_context&)> prepare = [](relay_context&) {};
    /// Called once all requests have ended.
    std::function<void(relay_context&)> inspect = [](relay_context&) {};

    /// The callers close their connections.
    void leave();

private:
    void publish();
    asio::awaitable<void> stay_idle();
    void mark_leaving(const server_id& server);
    /// Sends the requests of each list on one connection, one after the other.
    std::vector<received_answer>
    ask_on(const std::vector<std::vector<std::string>>& connections);

    platform::header_codec codec;
    fleet_snapshot fleet;
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<tcp::socket*> callers;
};

} // namespace fireflysail
