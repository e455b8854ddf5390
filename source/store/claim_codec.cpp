#include "store/claim_codec.hpp"

#include "common/hash.hpp"
#include "common/json_text.hpp"
#include "store/store_codec.hpp"

#include <absl/strings/escaping.h>

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr std::size_t longest_key = 255;

constexpr std::string_view state_name(entry_state state)
{
    switch (state)
    {
    case entry_state::claimed:
        return "claimed";
    case entry_state::completed:
        return "completed";
    case entry_state::unknown:
        break;
    }
    return "unknown";
}

std::optional<entry_state> state_named(std::string_view name)
{
    for (const entry_state state :
         {entry_state::claimed, entry_state::completed, entry_state::unknown})
    {
        if (state_name(state) == name)
        {
            return state;
        }
    }
    return std::nullopt;
}

std::optional<std::string> text_at(const json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_string())
    {
        return std::nullopt;
    }
    return found->get<std::string>();
}

json encode_response(const stored_response& response)
{
    const bool complete =
        response.complete && response.body.size() <= longest_kept_body;
    return {
        {"status", response.status},
        {"content_type", response.content_type},
        {"complete", complete},
        {"body_base64",
         complete ? absl::Base64Escape(response.body) : std::string{}}};
}

std::optional<stored_response> decode_response(const json& from)
{
    if (!from.is_object())
    {
        return std::nullopt;
    }
    const auto status = from.find("status");
    const auto complete = from.find("complete");
    auto content_type = text_at(from, "content_type");
    const auto body = text_at(from, "body_base64");
    const bool readable = status != from.end() && status->is_number_integer() &&
                          complete != from.end() && complete->is_boolean() &&
                          content_type && body;
    if (!readable)
    {
        return std::nullopt;
    }
    stored_response response;
    response.status = status->get<int>();
    response.content_type = std::move(*content_type);
    response.complete = complete->get<bool>();
    if (!absl::Base64Unescape(*body, &response.body))
    {
        return std::nullopt;
    }
    return response;
}

} // namespace

object_key claim_object_key(const claim_key& key)
{
    // A workspace's name holds no bare slash after encoding, so that no two
    // keys share an object.
    std::string name = fmt::format(
        "{}/{}", percent_encode(key.workspace.str()), key.key.str());
    std::string kind = claim_kind(stable_hash(name) % claim_shards);
    return {std::move(kind), std::move(name)};
}

std::string claim_kind(std::size_t shard)
{
    return fmt::format("claim-{:02x}", shard);
}

std::string encode_claim(const ledger_entry& entry)
{
    json value{
        {"workspace", entry.key.workspace.str()},
        {"key", entry.key.key.str()},
        {"content", fmt::format("{:016x}", entry.content.value())},
        {"attempt", entry.attempt.str()},
        {"claimant", entry.claimant.str()},
        {"state", state_name(entry.state)}};
    if (entry.state == entry_state::completed)
    {
        value["response"] = encode_response(entry.response);
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<ledger_entry> decode_claim(std::string_view value)
{
    const json from = parse_json(value);
    if (!from.is_object())
    {
        return errc::malformed;
    }
    const auto workspace = text_at(from, "workspace");
    const auto key = text_at(from, "key");
    const auto content = text_at(from, "content");
    const auto attempt = text_at(from, "attempt");
    const auto claimant = text_at(from, "claimant");
    const auto state_text = text_at(from, "state");
    const auto state = state_named(state_text.value_or(""));
    std::uint64_t hash = 0;
    const bool readable = workspace && key && content && attempt && claimant &&
                          state && absl::SimpleHexAtoi(*content, &hash);
    if (!readable)
    {
        return errc::malformed;
    }
    ledger_entry entry;
    entry.key = {workspace_id{*workspace}, idempotency_key{*key}};
    entry.content = fingerprint{hash};
    entry.attempt = attempt_id{*attempt};
    entry.claimant = instance_id{*claimant};
    entry.state = *state;
    if (*state == entry_state::completed)
    {
        const auto found = from.find("response");
        auto response =
            found == from.end() ? std::nullopt : decode_response(*found);
        if (!response)
        {
            return errc::malformed;
        }
        entry.response = std::move(*response);
    }
    return entry;
}

bool is_valid(const idempotency_key& key)
{
    const std::string& text = key.str();
    const auto visible = [](char letter)
    {
        return letter > ' ' && letter <= '~';
    };
    return !text.empty() && text.size() <= longest_key &&
           std::ranges::all_of(text, visible);
}

} // namespace fireflysail
