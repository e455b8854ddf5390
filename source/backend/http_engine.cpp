#include "backend/http_engine.hpp"

#include "backend/engine_codec.hpp"
#include "backend/event_stream.hpp"
#include "common/error.hpp"
#include "http/client_answer.hpp"
#include "http/http_channel.hpp"

#include <httplib.h>

#include <algorithm>
#include <string>

namespace fireflysail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds status_timeout{1'000};
constexpr milliseconds order_timeout{5'000};
constexpr milliseconds write_timeout{2'000};

// Engines send a heartbeat every 100 ms before the first token.
constexpr milliseconds heartbeat_grace{400};

// Streams are bounded by the watchdog, which can tell the first token from
// later ones; this bound only backs it up.
constexpr milliseconds longest_read{3'600'000};

/// Bounds an answer to a question or an order.
constexpr byte_count most_answer_bytes{1024ULL * 1024};

constexpr unsigned status_ok = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_client_error = 400;

bool is_connection_error(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

/// Decodes the events of one response and hands them on.
class event_pump
{
public:
    event_pump(
        const engine_event_receiver& receive,
        stream_watchdog::watch& watch,
        const clock& time,
        progress_monitor& progress)
        : receive{receive}
        , watch{watch}
        , time{time}
        , progress{progress}
    {
    }

    bool take(std::string_view bytes)
    {
        if (!this->stream.append(bytes))
        {
            this->end = stream_end::malformed;
            return false;
        }
        while (this->stream.next(this->payload))
        {
            auto event = decode_engine_event(this->payload);
            if (!event)
            {
                this->end = stream_end::malformed;
                return false;
            }
            this->has_progress = true;
            this->progress.on_progress(this->time.now());
            if (!this->receive(std::move(event).value()))
            {
                this->end = stream_end::cancelled;
                return false;
            }
        }
        this->watch.expect_by(this->silent_at());
        return true;
    }

    /// Why the pump itself ended the stream; closed if it did not.
    stream_end verdict() const
    {
        return this->end;
    }

private:
    /// An engine that sends heartbeats while the request waits for its first
    /// token is alive, however long the wait.
    time_point silent_at() const
    {
        const auto bound = this->progress.silent_at();
        return this->has_progress
                   ? bound
                   : std::max(bound, this->time.now() + heartbeat_grace);
    }

    const engine_event_receiver& receive;
    stream_watchdog::watch& watch;
    const clock& time;
    progress_monitor& progress;
    bool has_progress = false;
    event_stream stream;
    std::string payload;
    stream_end end = stream_end::closed;
};

stream_end refusal(unsigned status)
{
    return status >= status_client_error ? stream_end::refused
                                         : stream_end::malformed;
}

} // namespace

http_engine::http_engine(const clock& time, milliseconds connect_timeout)
    : time{time}
    , connect_timeout{connect_timeout}
    , watchdog{time}
{
}

stream_end http_engine::generate(
    const generate_request& request,
    progress_monitor& progress,
    const engine_event_receiver& receive)
{
    const endpoint& first = request.stages.front().address;
    httplib::Client client{first.host, first.port};
    client.set_connection_timeout(this->connect_timeout);
    client.set_read_timeout(longest_read);
    client.set_write_timeout(write_timeout);
    client.set_tcp_nodelay(true);

    stream_watchdog::watch watch{
        this->watchdog,
        [&client]
        {
            client.stop();
        }};
    watch.expect_by(progress.silent_at());
    event_pump pump{receive, watch, this->time, progress};

    httplib::Request message;
    message.method = "POST";
    message.path = "/v1/pipeline/generate";
    message.set_header("Content-Type", "application/json");
    message.body = encode_generate_request(request);
    unsigned status = 0;
    message.response_handler = [&status](const httplib::Response& response)
    {
        status = static_cast<unsigned>(response.status);
        return has_sound_head(response);
    };
    message.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        return status != status_ok || pump.take({data, size});
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    const bool whole = client.send(message, response, error);

    if (pump.verdict() != stream_end::closed)
    {
        return pump.verdict();
    }
    if (watch.expired())
    {
        return stream_end::silent;
    }
    if (!whole)
    {
        return is_connection_error(error) ? stream_end::not_connected
                                          : stream_end::broken;
    }
    return status == status_ok ? stream_end::closed : refusal(status);
}

result<engine_status> http_engine::status(const endpoint& address)
{
    http_channel channel{address, most_answer_bytes, this->connect_timeout};
    const auto answer = channel.call(
        {"GET", "/v1/load", {}}, this->connect_timeout + status_timeout);
    if (!answer || answer.value().status != status_ok)
    {
        return make_error_code(errc::unavailable);
    }
    auto status = decode_engine_status(answer.value().body);
    if (status)
    {
        status.value().load.received_at = this->time.now();
    }
    return status;
}

result<void>
http_engine::order(const endpoint& address, const std::string& body)
{
    http_channel channel{address, most_answer_bytes, this->connect_timeout};
    const auto answer = channel.call(
        {"POST", "/v1/orders", body}, this->connect_timeout + order_timeout);
    if (!answer)
    {
        return answer.error();
    }
    if (answer.value().status == status_conflict)
    {
        return make_error_code(errc::conflict);
    }
    if (answer.value().status != status_no_content)
    {
        return make_error_code(errc::malformed);
    }
    return boost::outcome_v2::success();
}

} // namespace fireflysail
