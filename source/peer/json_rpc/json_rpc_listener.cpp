#include "peer/json_rpc/json_rpc_listener.hpp"

#include <arpa/inet.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstring>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr const char* authentication_header = "X-Peer-Auth";
constexpr const char* challenge_header = "X-Peer-Challenge";
// Bodies pass through this buffer in pieces; the default of 32 KiB a
// connection would take most of the memory budget with a few hundred peers.
constexpr std::size_t connection_memory_bytes = std::size_t{8} * 1024;

struct address_storage
{
    sockaddr_storage bytes{};
    bool valid = false;
    bool is_v6 = false;
};

address_storage parse_address(const std::string& host, int port)
{
    address_storage parsed;
    const auto network_port = htons(static_cast<std::uint16_t>(port));
    auto* v4 = reinterpret_cast<sockaddr_in*>(&parsed.bytes);
    if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1)
    {
        v4->sin_family = AF_INET;
        v4->sin_port = network_port;
        parsed.valid = true;
        return parsed;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&parsed.bytes);
    if (inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1)
    {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = network_port;
        parsed.valid = true;
        parsed.is_v6 = true;
    }
    return parsed;
}

struct upload
{
    std::string body;
    bool too_large = false;
};

MHD_Result
send(MHD_Connection* connection, unsigned status, MHD_Response* response)
{
    const MHD_Result queued = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return queued;
}

MHD_Response* make_response(const std::string& body)
{
    // The library copies the buffer and does not write to it.
    return MHD_create_response_from_buffer(
        body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
}

} // namespace

class json_rpc_listener::state final
    : public jsonrpc::IProcedureInvokationHandler
{
public:
    state(json_rpc_listener_options chosen, json_rpc_callbacks functions)
        : options{std::move(chosen)}
        , callbacks{std::move(functions)}
        , protocol{jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this)}
    {
        for (const std::string& name : this->options.methods)
        {
            this->protocol->AddProcedure(jsonrpc::Procedure(
                name,
                jsonrpc::PARAMS_BY_NAME,
                jsonrpc::JSON_OBJECT,
                static_cast<const char*>(nullptr)));
        }
        this->start();
    }

    ~state() override
    {
        if (this->daemon != nullptr)
        {
            MHD_stop_daemon(this->daemon);
        }
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    int port() const
    {
        if (this->daemon == nullptr)
        {
            return 0;
        }
        const MHD_DaemonInfo* info =
            MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
        return info == nullptr ? 0 : static_cast<int>(info->port);
    }

    void HandleMethodCall(
        jsonrpc::Procedure& procedure,
        const Json::Value& input,
        Json::Value& output) override
    {
        Json::FastWriter writer;
        writer.omitEndingLineFeed();
        const json_rpc_answer answer = this->callbacks.handle(
            procedure.GetProcedureName(), writer.write(input));
        if (answer.error != 0)
        {
            throw jsonrpc::JsonRpcException(answer.error, answer.text);
        }
        Json::Reader reader;
        if (!reader.parse(answer.text, output, false))
        {
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR);
        }
    }

    void HandleNotificationCall(
        jsonrpc::Procedure& procedure, const Json::Value& input) override
    {
        Json::Value unused;
        this->HandleMethodCall(procedure, input, unused);
    }

private:
    void start()
    {
        address_storage address =
            parse_address(this->options.host, this->options.port);
        if (!address.valid)
        {
            return;
        }
        unsigned flags =
            MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_SUPPRESS_DATE_NO_CLOCK;
        if (address.is_v6)
        {
            flags |= MHD_USE_IPv6;
        }
        this->daemon = MHD_start_daemon(
            flags,
            0,
            nullptr,
            nullptr,
            &state::on_data,
            this,
            MHD_OPTION_SOCK_ADDR,
            reinterpret_cast<sockaddr*>(&address.bytes),
            MHD_OPTION_THREAD_POOL_SIZE,
            this->options.threads,
            MHD_OPTION_CONNECTION_LIMIT,
            this->options.max_connections,
            MHD_OPTION_CONNECTION_TIMEOUT,
            this->options.idle_timeout_seconds,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            connection_memory_bytes,
            MHD_OPTION_NOTIFY_COMPLETED,
            &state::on_completed,
            nullptr,
            MHD_OPTION_END);
    }

    static MHD_Result on_data(
        void* self,
        MHD_Connection* connection,
        const char*,
        const char* method,
        const char*,
        const char* data,
        size_t* data_size,
        void** request)
    {
        auto* listener = static_cast<state*>(self);
        if (*request == nullptr)
        {
            *request = new upload;
            return MHD_YES;
        }
        auto* body = static_cast<upload*>(*request);
        if (*data_size > 0)
        {
            listener->append(*body, data, *data_size);
            *data_size = 0;
            return MHD_YES;
        }
        return listener->answer(connection, method, *body);
    }

    static void on_completed(
        void*, MHD_Connection*, void** request, MHD_RequestTerminationCode)
    {
        delete static_cast<upload*>(*request);
        *request = nullptr;
    }

    void append(upload& request, const char* data, std::size_t size) const
    {
        if (request.body.size() + size > this->options.max_body_bytes)
        {
            request.too_large = true;
            request.body.clear();
        }
        if (!request.too_large)
        {
            request.body.append(data, size);
        }
    }

    MHD_Result answer(
        MHD_Connection* connection, const char* method, const upload& request)
    {
        if (std::strcmp(method, MHD_HTTP_METHOD_POST) != 0)
        {
            return send(
                connection, MHD_HTTP_METHOD_NOT_ALLOWED, make_response(""));
        }
        if (request.too_large)
        {
            return send(
                connection, MHD_HTTP_CONTENT_TOO_LARGE, make_response(""));
        }
        const char* header = MHD_lookup_connection_value(
            connection, MHD_HEADER_KIND, authentication_header);
        const std::string authentication = header == nullptr ? "" : header;
        const json_rpc_admission admission =
            this->callbacks.admit(authentication, request.body);
        if (admission.verdict == json_rpc_verdict::replayed)
        {
            return send(connection, MHD_HTTP_CONFLICT, make_response(""));
        }
        if (admission.verdict != json_rpc_verdict::accepted)
        {
            MHD_Response* refusal = make_response("");
            MHD_add_response_header(
                refusal, challenge_header, admission.challenge.c_str());
            return send(connection, MHD_HTTP_UNAUTHORIZED, refusal);
        }
        std::string reply;
        this->protocol->HandleRequest(request.body, reply);
        const std::string signature =
            this->callbacks.sign(authentication, reply);
        MHD_Response* response = make_response(reply);
        MHD_add_response_header(
            response, authentication_header, signature.c_str());
        return send(connection, MHD_HTTP_OK, response);
    }

    json_rpc_listener_options options;
    json_rpc_callbacks callbacks;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
    MHD_Daemon* daemon = nullptr;
};

json_rpc_listener::json_rpc_listener(
    json_rpc_listener_options options, json_rpc_callbacks callbacks)
    : self{new state{std::move(options), std::move(callbacks)}}
{
}

json_rpc_listener::~json_rpc_listener() = default;

int json_rpc_listener::port() const
{
    return this->self->port();
}

} // namespace fireflysail
