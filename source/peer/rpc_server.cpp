#include "peer/rpc_server.hpp"

#include "common/log.hpp"
#include "peer/json_rpc/json_rpc_listener.hpp"
#include "peer/rpc_error.hpp"

#include <utility>

namespace fireflysail
{

namespace
{

json_rpc_answer to_answer(const result<std::string>& outcome)
{
    if (outcome.has_error())
    {
        return {to_rpc_error(outcome.error()), outcome.error().message()};
    }
    return {0, outcome.value()};
}

} // namespace

result<std::unique_ptr<rpc_server>> rpc_server::start(
    const rpc_server_config& config,
    const peer_keys& keys,
    const peer_dispatcher& dispatcher)
{
    std::unique_ptr<rpc_server> server{
        new rpc_server{config, keys, dispatcher}};
    server->listen(config);
    if (server->listener->port() == 0)
    {
        return make_error_code(errc::unavailable);
    }
    return {std::move(server)};
}

rpc_server::rpc_server(
    const rpc_server_config& config,
    const peer_keys& keys,
    const peer_dispatcher& dispatcher)
    : authenticator{keys}
    , replays{&draw_nonce}
    , dispatcher{dispatcher}
    , advertised_host{config.advertised.host}
    , advertised_port{config.advertised.port}
{
}

rpc_server::~rpc_server() = default;

void rpc_server::listen(const rpc_server_config& config)
{
    json_rpc_listener_options options;
    options.host = config.listen.host;
    options.port = config.listen.port;
    options.threads = config.threads;
    options.max_connections = config.max_connections;
    options.methods = this->dispatcher.methods();
    json_rpc_callbacks callbacks;
    callbacks.admit = [this](const std::string& header, const std::string& body)
    {
        const std::string session = this->replays.session();
        request_stamp stamp;
        json_rpc_verdict verdict = json_rpc_verdict::accepted;
        if (!this->authenticator.verify_request(
                header, this->address(), session, body, stamp))
        {
            verdict = json_rpc_verdict::not_authentic;
            ++this->not_authentic;
        }
        else if (!this->replays.accept(session, stamp.sender, stamp.sequence))
        {
            verdict = json_rpc_verdict::replayed;
            ++this->replayed;
        }
        else
        {
            ++this->accepted;
        }
        return json_rpc_admission{verdict, this->replays.session()};
    };
    callbacks.sign = [this](const std::string& header, const std::string& reply)
    {
        return this->authenticator.sign_reply(header, reply);
    };
    callbacks.handle =
        [this](const std::string& method, const std::string& params)
    {
        return to_answer(this->dispatcher.dispatch(method, params));
    };
    this->listener = std::make_unique<json_rpc_listener>(
        std::move(options), std::move(callbacks));
    if (this->advertised_port == 0)
    {
        this->advertised_port = this->listener->port();
    }
}

endpoint rpc_server::address() const
{
    return {this->advertised_host, this->advertised_port};
}

rpc_server_counts rpc_server::counts() const
{
    return {this->accepted, this->not_authentic, this->replayed};
}

} // namespace fireflysail
