#include "peer/gossip_codec.hpp"

#include "common/error.hpp"
#include "peer/json_fields.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t longest_entry_ms = std::uint64_t{30} * 24 * 3600 * 1000;

json encode_peer(const peer& one)
{
    return json::array(
        {one.id.str(),
         one.address.host,
         one.address.port,
         one.zone.str(),
         one.region.str(),
         one.life.value(),
         static_cast<unsigned>(one.state)});
}

peer decode_peer(const json& field)
{
    const json& parts = field;
    require_tuple(parts, 7);
    peer one;
    one.id = instance_id{read_name(parts[0])};
    one.address.host = read_name(parts[1]);
    one.address.port = static_cast<int>(read_count(parts[2]));
    one.zone = zone_id{read_name(parts[3])};
    one.region = region_id{read_name(parts[4])};
    one.life = incarnation{read_unsigned(parts[5])};
    const std::uint32_t state = read_count(parts[6]);
    if (one.id.empty() || one.address.port > 65535 ||
        state > static_cast<std::uint32_t>(peer_state::left))
    {
        throw field_error{"not a peer"};
    }
    one.state = static_cast<peer_state>(state);
    return one;
}

json encode_entry(const shared_entry& entry)
{
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(entry.remaining);
    return json::array(
        {entry.key,
         entry.version,
         entry.value,
         static_cast<std::uint64_t>(
             std::max<std::int64_t>(remaining.count(), 0))});
}

shared_entry decode_entry(const json& field)
{
    const json& parts = field;
    require_tuple(parts, 4);
    return {
        read_name(parts[0]),
        read_unsigned(parts[1]),
        read_name(parts[2]),
        std::chrono::milliseconds{
            std::min(read_unsigned(parts[3]), longest_entry_ms)}};
}

void encode_news(
    json& to,
    const std::vector<peer>& updates,
    const std::vector<shared_entry>& entries)
{
    for (const peer& one : updates)
    {
        to["u"].push_back(encode_peer(one));
    }
    for (const shared_entry& entry : entries)
    {
        to["e"].push_back(encode_entry(entry));
    }
}

template <class Message>
void decode_news(const json& from, Message& to)
{
    std::ranges::transform(
        read_list(from, "u"), std::back_inserter(to.updates), &decode_peer);
    std::ranges::transform(
        read_list(from, "e"), std::back_inserter(to.entries), &decode_entry);
}

template <class Message>
void decode_sender(const json& from, Message& to)
{
    const json& sender = from.at("s");
    require_tuple(sender, 2);
    to.sender = instance_id{read_name(sender[0])};
    to.sender_incarnation = incarnation{read_unsigned(sender[1])};
    to.digest = read_unsigned(from.at("d"));
}

gossip_request read_request(const json& message)
{
    gossip_request request;
    const std::uint32_t kind = read_count(message.at("k"));
    if (kind > static_cast<std::uint32_t>(gossip_kind::sync))
    {
        throw field_error{"not a kind"};
    }
    request.kind = static_cast<gossip_kind>(kind);
    decode_sender(message, request);
    if (message.contains("r"))
    {
        request.receiver = instance_id{read_name(message["r"])};
    }
    if (message.contains("j"))
    {
        const json& subject = message["j"];
        require_tuple(subject, 2);
        request.subject = instance_id{read_name(subject[0])};
        request.subject_incarnation = incarnation{read_unsigned(subject[1])};
    }
    if (message.contains("b"))
    {
        const json& digests = message["b"];
        require_tuple(digests, sync_bucket_count);
        std::ranges::transform(
            digests, request.digests.begin(), &read_unsigned);
    }
    decode_news(message, request);
    return request;
}

gossip_reply read_reply(const json& message)
{
    gossip_reply reply;
    decode_sender(message, reply);
    reply.is_stranger = message.contains("n");
    decode_news(message, reply);
    return reply;
}

} // namespace

std::string encode(const gossip_request& request)
{
    json message{
        {"k", static_cast<unsigned>(request.kind)},
        {"s",
         json::array(
             {request.sender.str(), request.sender_incarnation.value()})},
        {"d", request.digest}};
    if (!request.receiver.empty())
    {
        message["r"] = request.receiver.str();
    }
    if (!request.subject.empty())
    {
        message["j"] = json::array(
            {request.subject.str(), request.subject_incarnation.value()});
    }
    if (request.kind == gossip_kind::sync)
    {
        message["b"] = request.digests;
    }
    encode_news(message, request.updates, request.entries);
    return message.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string encode(const gossip_reply& reply)
{
    json message{
        {"s",
         json::array({reply.sender.str(), reply.sender_incarnation.value()})},
        {"d", reply.digest}};
    if (reply.is_stranger)
    {
        message["n"] = 1;
    }
    encode_news(message, reply.updates, reply.entries);
    return message.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<gossip_request> decode_gossip_request(std::string_view text)
{
    return decode_with(&read_request, text);
}

result<gossip_reply> decode_gossip_reply(std::string_view text)
{
    return decode_with(&read_reply, text);
}

} // namespace fireflysail
