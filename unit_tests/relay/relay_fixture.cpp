#include "relay/relay_fixture.hpp"

#include "common/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

const service_id desk{"desk"};
const service_id model{"model"};

/// A store that is never reached.
class absent_store final : public store
{
public:
    result<stored_object> get(const object_key&, time_point) override
    {
        return errc::unavailable;
    }

    result<store_snapshot>
    list(const std::vector<std::string>&, time_point) override
    {
        return errc::unavailable;
    }

    result<revision>
    create(const object_key&, const std::string&, time_point) override
    {
        return errc::unavailable;
    }

    result<revision>
    update(const object_key&, const std::string&, revision, time_point) override
    {
        return errc::unavailable;
    }

    result<revision> remove(const object_key&, revision, time_point) override
    {
        return errc::unavailable;
    }

    result<watch_batch>
    watch(const std::vector<std::string>&, revision, time_point) override
    {
        return errc::unavailable;
    }
};

route make_route(const std::string& prefix, route_kind kind, service_id service)
{
    route made;
    made.name = prefix;
    made.host = "shop.example";
    made.prefix = prefix;
    made.kind = kind;
    made.services = {{std::move(service), 1}};
    made.timeout = 5s;
    made.latency_objective = 500ms;
    made.most_attempts = 2;
    made.resumable = kind == route_kind::stream;
    return made;
}

asio::awaitable<received_answer>
ask_once(tcp::socket& socket, beast::flat_buffer& buffer, std::string request)
{
    co_await asio::async_write(socket, asio::buffer(request), as_result);
    http::response_parser<http::string_body> parser;
    const auto [error, bytes] =
        co_await http::async_read(socket, buffer, parser, as_result);
    received_answer answer;
    answer.whole = !error;
    answer.status = parser.get().result_int();
    answer.header = parser.get().base();
    answer.body = parser.get().body();
    co_return answer;
}

asio::awaitable<void> ask_all(
    tcp::socket socket,
    std::vector<std::string> requests,
    std::function<asio::awaitable<void>()> before_request,
    std::vector<received_answer>& answers,
    std::vector<tcp::socket*>& callers)
{
    callers.push_back(&socket);
    beast::flat_buffer buffer;
    for (const std::string& request : requests)
    {
        co_await before_request();
        auto answer = co_await ask_once(socket, buffer, request);
        const bool goes_on = answer.whole;
        answers.push_back(std::move(answer));
        if (!goes_on)
        {
            break;
        }
    }
    std::erase(callers, &socket);
}

asio::awaitable<void>
serve_one(relay_context& relay, tcp::socket accepted, request_source source)
{
    caller_session session{relay, std::move(accepted), source};
    co_await session.run();
}

} // namespace

result<engine_condition> silent_engines::status(const engine&)
{
    return errc::unavailable;
}

result<engine_health> silent_engines::health(const engine&)
{
    return errc::unavailable;
}

order_outcome silent_engines::place(const engine&, const placement_order&)
{
    return order_outcome::not_sent;
}

relay_fixture::relay_fixture()
    : config{std::make_shared<traffic_config>()}
{
    this->node.zone = zone_id{"home"};
    this->config->version = 1;
    this->config->has_workspaces = true;
    this->config->keys["key"] = {workspace_id{"team"}, std::nullopt};
    auto& routes = this->config->routes["shop.example"];
    routes = {
        make_route("/safe/", route_kind::idempotent, desk),
        make_route("/once/", route_kind::non_idempotent, desk),
        make_route("/stream/", route_kind::stream, model)};
    this->fleet.models = {{model_id{model.str()}, 8, true}};
}

scripted_server&
relay_fixture::add_desk(const std::string& id, scripted_server::script script)
{
    auto server =
        std::make_unique<scripted_server>(this->io, std::move(script));
    service_server entry;
    entry.id = server_id{id};
    entry.service = desk;
    entry.address = server->address();
    entry.zone = zone_id{id};
    entry.slots = 6;
    this->fleet.services.push_back(entry);
    this->servers.push_back(std::move(server));
    return *this->servers.back();
}

scripted_server&
relay_fixture::add_engine(const std::string& id, scripted_server::script script)
{
    auto server =
        std::make_unique<scripted_server>(this->io, std::move(script));
    engine entry;
    entry.id = server_id{id};
    entry.address = server->address();
    entry.zone = zone_id{id};
    entry.region = region_id{"r"};
    entry.service = model;
    entry.kind = accelerator_kind{"k"};
    entry.load.slots = 8;
    entry.load.step_time = 1ms;
    entry.load.prefill_time_per_token = 1us;
    entry.holdings = {
        {model_id{model.str()},
         model_version{"1"},
         {layer_index{0}, layer_index{8}},
         {}}};
    this->fleet.engines.push_back(entry);
    this->servers.push_back(std::move(server));
    return *this->servers.back();
}

scripted_server& relay_fixture::add(
    const std::string& path,
    const std::string& id,
    scripted_server::script script)
{
    return path == "/stream/" ? this->add_engine(id, std::move(script))
                              : this->add_desk(id, std::move(script));
}

void relay_fixture::mark_leaving(const server_id& server)
{
    for (engine& each : this->fleet.engines)
    {
        each.mark = each.id == server ? server_mark::leaving : each.mark;
    }
    for (service_server& each : this->fleet.services)
    {
        each.mark = each.id == server ? server_mark::leaving : each.mark;
    }
    this->publish();
}

void relay_fixture::publish()
{
    this->board.traffic.publish(this->config);
    this->board.fleet.publish(std::make_shared<fleet_snapshot>(this->fleet));
}

std::vector<received_answer>
relay_fixture::ask(const std::vector<std::string>& requests)
{
    return this->ask_on({requests});
}

std::vector<received_answer>
relay_fixture::ask_together(const std::vector<std::string>& requests)
{
    std::vector<std::vector<std::string>> connections;
    std::ranges::transform(
        requests,
        std::back_inserter(connections),
        [](const std::string& request)
        {
            return std::vector{request};
        });
    return this->ask_on(connections);
}

std::vector<received_answer>
relay_fixture::ask_on(const std::vector<std::vector<std::string>>& connections)
{
    this->publish();
    pipeline_router pipelines{this->time, this->board.fleet};
    pipelines.refresh();
    absent_store objects;
    engine_prober inquiry{this->board, this->engines, this->time};
    crash_registry crashes{objects, this->time};
    stall_monitor stalls{this->io.get_executor(), this->time};
    server_balancer balancer;
    backend_pool pool{this->io.get_executor(), this->time};
    rate_limit_gate rate_limits{
        this->io.get_executor(), this->time, instance_id{"entry-1"}};
    server_backoff backoff{this->time, {}};
    request_metrics metrics;
    std::mt19937_64 random{1};
    relay_context relay{
        this->io.get_executor(),
        this->time,
        this->node,
        this->board,
        this->codec,
        pipelines,
        balancer,
        inquiry,
        crashes,
        stalls,
        pool,
        rate_limits,
        backoff,
        metrics,
        random,
        {}};
    relay.store_is_lost = this->store_is_lost;
    relay.config_age = [this]
    {
        return this->config_age;
    };
    relay.on_leaving =
        [this, &pipelines](const server_id& server, std::uint64_t boot)
    {
        this->leaving.emplace_back(server, boot);
        this->mark_leaving(server);
        pipelines.refresh();
    };
    if (this->stopping_for)
    {
        const time_point began = this->time.now() - *this->stopping_for;
        relay.draining = true;
        relay.stop.begin(began, began + this->node.bounds.stop_grace);
    }
    this->prepare(relay);
    tcp::acceptor acceptor{
        this->io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    std::size_t served = 0;
    std::vector<received_answer> answers;
    for (const auto& requests : connections)
    {
        tcp::socket caller{this->io};
        caller.connect(acceptor.local_endpoint());
        asio::co_spawn(
            this->io,
            serve_one(relay, acceptor.accept(), this->source),
            [&served](const std::exception_ptr&)
            {
                ++served;
            });
        asio::co_spawn(
            this->io,
            ask_all(
                std::move(caller),
                requests,
                [this]
                {
                    return this->stay_idle();
                },
                answers,
                this->callers),
            asio::detached);
    }
    while (served < connections.size())
    {
        this->io.run_one();
    }
    // What was cancelled at the end still has to be called back.
    this->io.poll();
    this->inspect(relay);
    return answers;
}

asio::awaitable<void> relay_fixture::stay_idle()
{
    if (this->idle_time > duration::zero())
    {
        asio::steady_timer timer{this->io, this->idle_time};
        co_await timer.async_wait(as_result);
        this->after_idle_time();
    }
}

void relay_fixture::leave()
{
    for (tcp::socket* const caller : this->callers)
    {
        close_quietly(*caller);
    }
}

std::string
relay_fixture::get(const std::string& path, const std::string& more_fields)
{
    return "GET " + path +
           " HTTP/1.1\r\nHost: Shop.Example:80\r\n"
           "X-Fireflysail-Attempt-Id: 9c41\r\n"
           "Authorization: Bearer key\r\n" +
           more_fields + "\r\n";
}

} // namespace fireflysail
