#include "cluster/claim_inquiries.hpp"

#include "common/error.hpp"
#include "common/json_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>

namespace fireflysail
{

namespace
{

using nlohmann::json;

json encode_answer(const claimant_disowned& answer)
{
    return {
        {"answer", "disowned"}, {"never_dispatched", answer.never_dispatched}};
}

json encode_answer(const claimant_running&)
{
    return {{"answer", "running"}};
}

json encode_answer(const claimant_finished& answer)
{
    // A body may hold any bytes, and JSON text may not.
    return {
        {"answer", "finished"},
        {"completed", answer.state == entry_state::completed},
        {"status", answer.response.status},
        {"content_type", answer.response.content_type},
        {"body",
         json::binary(
             {answer.response.body.begin(), answer.response.body.end()})},
        {"complete", answer.response.complete}};
}

json encode_answer(const claimant_unreachable&)
{
    return {{"answer", "unreachable"}};
}

std::string read_body(const json& bytes)
{
    std::string body;
    for (const json& byte : bytes.at("bytes"))
    {
        body += static_cast<char>(byte.get<std::uint8_t>());
    }
    return body;
}

claimant_answer read_answer(const json& message)
{
    const auto kind = message.at("answer").get<std::string>();
    if (kind == "disowned")
    {
        return claimant_disowned{message.at("never_dispatched").get<bool>()};
    }
    if (kind == "running")
    {
        return claimant_running{};
    }
    if (kind == "finished")
    {
        claimant_finished finished;
        finished.state = message.at("completed").get<bool>()
                             ? entry_state::completed
                             : entry_state::unknown;
        finished.response.status = message.at("status").get<int>();
        finished.response.content_type =
            message.at("content_type").get<std::string>();
        finished.response.body = read_body(message.at("body"));
        finished.response.complete = message.at("complete").get<bool>();
        return finished;
    }
    return claimant_unreachable{};
}

} // namespace

std::string encode(const claim_question& question)
{
    return json{
        {"claimant", question.claimant.str()},
        {"attempt", question.attempt.str()}}
        .dump();
}

result<claim_question> decode_claim_question(std::string_view text)
{
    try
    {
        const auto message = parse_json(text);
        return claim_question{
            instance_id{message.at("claimant").get<std::string>()},
            attempt_id{message.at("attempt").get<std::string>()}};
    }
    catch (const std::exception&)
    {
        return make_error_code(errc::malformed);
    }
}

std::string encode(const claimant_answer& answer)
{
    const auto message = std::visit(
        [](const auto& each)
        {
            return encode_answer(each);
        },
        answer);
    return message.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claimant_answer> decode_claimant_answer(std::string_view text)
{
    try
    {
        return read_answer(parse_json(text));
    }
    catch (const std::exception&)
    {
        return make_error_code(errc::malformed);
    }
}

peer_inquiry::peer_inquiry(
    const clock& time,
    rpc_client& client,
    const snapshot_cell<peers_snapshot>& peers)
    : time{time}
    , client{client}
    , peers{peers}
{
}

claimant_answer peer_inquiry::ask(
    const instance_id& claimant, const attempt_id& attempt, time_point deadline)
{
    const auto known = this->peers.load();
    const auto found = std::ranges::find(known->peers, claimant, &peer::id);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - this->time.now());
    if (found == known->peers.end() || left <= std::chrono::milliseconds{0})
    {
        return claimant_unreachable{};
    }
    const auto answer = this->client.call(
        found->address,
        std::string{peer_method::claim_inquiry},
        encode(claim_question{claimant, attempt}),
        left);
    if (!answer)
    {
        return claimant_unreachable{};
    }
    const auto decoded = decode_claimant_answer(answer.value());
    return decoded ? decoded.value() : claimant_answer{claimant_unreachable{}};
}

void add_claim_handler(
    peer_dispatcher& dispatcher,
    const instance_id& self,
    at_most_once_executor& ledger)
{
    dispatcher.add(
        peer_method::claim_inquiry,
        [self, &ledger](std::string_view params) -> result<std::string>
        {
            const auto question = decode_claim_question(params);
            if (!question)
            {
                return question.error();
            }
            if (question.value().claimant != self)
            {
                return make_error_code(errc::not_found);
            }
            return encode(ledger.answer_inquiry(question.value().attempt));
        });
}

} // namespace fireflysail
