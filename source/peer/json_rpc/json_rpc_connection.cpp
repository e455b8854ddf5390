#include "peer/json_rpc/json_rpc_connection.hpp"

#include <curl/curl.h>
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

#include <cctype>
#include <mutex>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr long http_ok = 200;
constexpr long http_unauthorized = 401;
constexpr long http_conflict = 409;
// Below the listener's idle timeout, so that a request is hardly ever sent on
// a connection that the other side is about to close.
constexpr long reuse_idle_seconds = 30;

void initialize_curl_once()
{
    static std::once_flag once;
    std::call_once(
        once,
        []
        {
            curl_global_init(CURL_GLOBAL_DEFAULT);
        });
}

std::string make_url(const std::string& host, int port)
{
    const bool is_v6 = host.find(':') != std::string::npos;
    const std::string shown = is_v6 ? "[" + host + "]" : host;
    return "http://" + shown + ":" + std::to_string(port) + "/";
}

size_t append_body(char* data, size_t size, size_t count, void* target)
{
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
}

struct reply_headers
{
    std::string authentication;
    std::string challenge;
};

bool starts_with_name(const std::string& line, const std::string& name)
{
    if (line.size() <= name.size() || line[name.size()] != ':')
    {
        return false;
    }
    for (std::size_t i = 0; i < name.size(); ++i)
    {
        const auto have = static_cast<unsigned char>(line[i]);
        if (std::tolower(have) != name[i])
        {
            return false;
        }
    }
    return true;
}

std::string header_value(const std::string& line)
{
    const std::size_t first = line.find_first_not_of(" \t", line.find(':') + 1);
    const std::size_t last = line.find_last_not_of(" \t\r\n");
    if (first == std::string::npos || last < first)
    {
        return "";
    }
    return line.substr(first, last - first + 1);
}

size_t read_header(char* data, size_t size, size_t count, void* target)
{
    const std::string line(data, size * count);
    auto* headers = static_cast<reply_headers*>(target);
    if (starts_with_name(line, "x-peer-auth"))
    {
        headers->authentication = header_value(line);
    }
    if (starts_with_name(line, "x-peer-challenge"))
    {
        headers->challenge = header_value(line);
    }
    return size * count;
}

json_rpc_outcome
make_outcome(json_rpc_status status, const std::string& text, int error)
{
    json_rpc_outcome outcome;
    outcome.status = status;
    outcome.text = text;
    outcome.error = error;
    return outcome;
}

bool nothing_was_sent(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
}

} // namespace

// The library's own HTTP client tells neither a refused connection from a
// lost answer nor the headers of a reply, and it obeys proxy variables of the
// environment; hence a connector of our own under the library's protocol.
class json_rpc_connection::state final : public jsonrpc::IClientConnector
{
public:
    state(const std::string& host, int port)
        : client{*this, jsonrpc::JSONRPC_CLIENT_V2}
        , url{make_url(host, port)}
    {
        initialize_curl_once();
        this->curl = curl_easy_init();
    }

    ~state() override
    {
        curl_easy_cleanup(this->curl);
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    json_rpc_outcome call(
        const std::string& method,
        const std::string& params,
        long limit_ms,
        const json_rpc_signing& functions)
    {
        Json::Value parsed;
        Json::Reader reader;
        if (!reader.parse(params, parsed, false) || !parsed.isObject())
        {
            return make_outcome(json_rpc_status::invalid_params, "", 0);
        }
        this->timeout_ms = limit_ms;
        this->signing = &functions;
        this->failure = json_rpc_status::malformed;
        try
        {
            const Json::Value result = this->client.CallMethod(method, parsed);
            Json::FastWriter writer;
            writer.omitEndingLineFeed();
            return this->count(make_outcome(
                json_rpc_status::answered, writer.write(result), 0));
        }
        catch (const jsonrpc::JsonRpcException& error)
        {
            return this->count(this->explain(error));
        }
    }

    void SendRPCMessage(const std::string& message, std::string& result) throw(
        jsonrpc::JsonRpcException) override
    {
        // The protocol ends a message with a line feed, which is not needed.
        const std::string body =
            message.substr(0, message.find_last_not_of('\n') + 1);
        this->headers = reply_headers{};
        result.clear();
        const CURLcode code = this->perform(body, result);
        if (code != CURLE_OK)
        {
            this->fail(
                nothing_was_sent(code) || !this->was_sent()
                    ? json_rpc_status::not_sent
                    : json_rpc_status::no_answer);
        }
        long status = 0;
        curl_easy_getinfo(this->curl, CURLINFO_RESPONSE_CODE, &status);
        if (status == http_unauthorized)
        {
            this->fail(json_rpc_status::refused);
        }
        if (status == http_conflict)
        {
            // The HTTP client sent the request again on a new connection.
            this->fail(json_rpc_status::no_answer);
        }
        if (status != http_ok ||
            !this->signing->verify(this->headers.authentication, result))
        {
            this->fail(json_rpc_status::malformed);
        }
    }

private:
    CURLcode perform(const std::string& body, std::string& result)
    {
        curl_slist* lines =
            curl_slist_append(nullptr, "Content-Type: application/json");
        const std::string authentication =
            "X-Peer-Auth: " + this->signing->sign(body);
        lines = curl_slist_append(lines, authentication.c_str());
        lines = curl_slist_append(lines, "Accept:");
        lines = curl_slist_append(lines, "Expect:");
        curl_easy_setopt(this->curl, CURLOPT_URL, this->url.c_str());
        curl_easy_setopt(this->curl, CURLOPT_PROXY, "");
        curl_easy_setopt(this->curl, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(this->curl, CURLOPT_MAXAGE_CONN, reuse_idle_seconds);
        curl_easy_setopt(this->curl, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(this->curl, CURLOPT_TCP_KEEPIDLE, 1L);
        curl_easy_setopt(this->curl, CURLOPT_TCP_KEEPINTVL, 1L);
        curl_easy_setopt(this->curl, CURLOPT_TIMEOUT_MS, this->timeout_ms);
        curl_easy_setopt(this->curl, CURLOPT_HTTPHEADER, lines);
        curl_easy_setopt(
            this->curl,
            CURLOPT_POSTFIELDSIZE_LARGE,
            static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(this->curl, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(this->curl, CURLOPT_WRITEFUNCTION, &append_body);
        curl_easy_setopt(this->curl, CURLOPT_WRITEDATA, &result);
        curl_easy_setopt(this->curl, CURLOPT_HEADERFUNCTION, &read_header);
        curl_easy_setopt(this->curl, CURLOPT_HEADERDATA, &this->headers);
        const CURLcode code = curl_easy_perform(this->curl);
        curl_easy_setopt(this->curl, CURLOPT_HTTPHEADER, nullptr);
        curl_slist_free_all(lines);
        return code;
    }

    bool was_sent() const
    {
        long bytes = 0;
        curl_easy_getinfo(this->curl, CURLINFO_REQUEST_SIZE, &bytes);
        return bytes > 0;
    }

    json_rpc_outcome count(json_rpc_outcome outcome) const
    {
        long request_bytes = 0;
        long header_bytes = 0;
        curl_off_t uploaded = 0;
        curl_off_t downloaded = 0;
        curl_easy_getinfo(this->curl, CURLINFO_REQUEST_SIZE, &request_bytes);
        curl_easy_getinfo(this->curl, CURLINFO_HEADER_SIZE, &header_bytes);
        curl_easy_getinfo(this->curl, CURLINFO_SIZE_UPLOAD_T, &uploaded);
        curl_easy_getinfo(this->curl, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
        outcome.bytes_sent = request_bytes + static_cast<long>(uploaded);
        outcome.bytes_received = header_bytes + static_cast<long>(downloaded);
        return outcome;
    }

    [[noreturn]] void fail(json_rpc_status status)
    {
        this->failure = status;
        throw jsonrpc::JsonRpcException(
            jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }

    json_rpc_outcome explain(const jsonrpc::JsonRpcException& error) const
    {
        const int code = error.GetCode();
        if (code == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR)
        {
            return make_outcome(this->failure, this->headers.challenge, code);
        }
        if (code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
            code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR)
        {
            return make_outcome(json_rpc_status::malformed, "", code);
        }
        return make_outcome(
            json_rpc_status::method_error, error.GetMessage(), code);
    }

    jsonrpc::Client client;
    std::string url;
    CURL* curl = nullptr;
    long timeout_ms = 0;
    const json_rpc_signing* signing = nullptr;
    reply_headers headers;
    json_rpc_status failure = json_rpc_status::malformed;
};

json_rpc_connection::json_rpc_connection(const std::string& host, int port)
    : self{new state{host, port}}
{
}

json_rpc_connection::~json_rpc_connection() = default;

json_rpc_outcome json_rpc_connection::call(
    const std::string& method,
    const std::string& params,
    long timeout_ms,
    const json_rpc_signing& signing)
{
    return this->self->call(method, params, timeout_ms, signing);
}

} // namespace fireflysail
