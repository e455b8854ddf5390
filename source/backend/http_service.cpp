#include "backend/http_service.hpp"

#include "common/error.hpp"
#include "http/http_channel.hpp"
#include "http/percent_encoding.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr std::chrono::milliseconds shortest_timeout{1};

/// Bounds an answer, which is kept until it is whole.
constexpr byte_count longest_answer{64ULL * 1024 * 1024};

service_result
send(http_channel& channel, const channel_request& request, duration timeout)
{
    auto answer =
        channel.call(request, std::max<duration>(shortest_timeout, timeout));
    if (!answer)
    {
        // Only a connection that was never made proves that nothing was sent.
        return answer.error() == errc::unavailable ? service_failure::not_sent
                                                   : service_failure::no_answer;
    }
    return service_response{
        static_cast<int>(answer.value().status),
        find_field(answer.value(), "Content-Type"),
        std::move(answer.value().body)};
}

} // namespace

http_service::http_service(std::chrono::milliseconds connect_timeout)
    : connect_timeout{connect_timeout}
{
}

service_result http_service::call(
    const endpoint& address, const service_request& request, duration timeout)
{
    http_channel channel{address, longest_answer, this->connect_timeout};
    channel_request message{request.method, request.target, request.body};
    message.fields.emplace_back("X-Request-Id", request.request.str());
    message.content_type = request.content_type;
    if (request.key)
    {
        message.fields.emplace_back("Idempotency-Key", request.key->str());
    }
    for (const auto& field : request.headers)
    {
        message.fields.emplace_back(field.name, field.value);
    }
    return send(channel, message, timeout);
}

service_result http_service::look_up(
    const endpoint& address, const idempotency_key& key, duration timeout)
{
    http_channel channel{address, longest_answer, this->connect_timeout};
    return send(
        channel,
        {"GET", "/v1/outcomes?key=" + percent_encode(key.str()), {}},
        timeout);
}

} // namespace fireflysail
