#include "notices/notice_codec.hpp"

#include "control/field_reader.hpp"
#include "notices/demand_codec.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace fireflysail
{

namespace
{

constexpr std::array all_news{
    engine_observation::failed,
    engine_observation::unanswered,
    engine_observation::answered,
    engine_observation::congested,
    engine_observation::leaving};

/// Parts that are read of one message.
constexpr std::size_t max_parts = 64;

/// Longest time that is read, in milliseconds.
constexpr std::uint64_t max_milliseconds = 366ULL * 24 * 3'600 * 1'000;

constexpr std::array all_states{
    owner_state::available, owner_state::leaving, owner_state::silent};

std::string name_of(owner_state state)
{
    switch (state)
    {
    case owner_state::available:
        return "available";
    case owner_state::leaving:
        return "leaving";
    case owner_state::silent:
        return "silent";
    }
    return "";
}

nlohmann::json encode_parts(const std::vector<prompt_part>& parts)
{
    auto encoded = nlohmann::json::array();
    std::ranges::transform(
        parts, std::back_inserter(encoded), &prompt_part::value);
    return encoded;
}

std::int64_t milliseconds_of(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Writes the fields of news of requests that crash engines.
struct crash_encoder
{
    nlohmann::json operator()(const crashed_run& run) const
    {
        return {
            {"crashed", run.server.str()},
            {"content", run.content.whole.value()},
            {"parts", encode_parts(run.content.parts)},
            {"answered", run.answered}};
    }

    nlohmann::json operator()(const begun_parts& begun) const
    {
        return {
            {"begun", encode_parts(begun.parts)},
            {"age_ms", milliseconds_of(begun.age)}};
    }

    nlohmann::json operator()(const part_quarantine& told) const
    {
        return {
            {"quarantined", encode_parts(told.parts)},
            {"count", told.count},
            {"age_ms", milliseconds_of(told.age)},
            {"left_ms", milliseconds_of(told.left)}};
    }
};

nlohmann::json encode_limit(const server_limit& known)
{
    nlohmann::json fields{
        {"limited", known.server.str()},
        {"age_ms", milliseconds_of(known.age)}};
    if (known.limit)
    {
        fields["requests_per_second"] = *known.limit;
    }
    return fields;
}

/// Writes the fields of messages about servers with limits.
struct limit_encoder
{
    nlohmann::json operator()(const server_limit& known) const
    {
        return encode_limit(known);
    }

    nlohmann::json operator()(const grant_request& asked) const
    {
        nlohmann::json fields = encode_limit(asked.known);
        fields["asks"] = asked.number;
        return fields;
    }

    nlohmann::json operator()(const owner_presence& told) const
    {
        return {
            {"instance", told.instance.str()},
            {"state", name_of(told.state)},
            {"pause_ms", milliseconds_of(told.pause)}};
    }

    nlohmann::json operator()(const grant_reply& reply) const
    {
        return {
            {"replies", reply.number},
            {"granted", reply.grant.granted},
            {"wait_ms", milliseconds_of(reply.grant.wait)}};
    }
};

/// Writes the fields of a message.
struct encoder
{
    nlohmann::json operator()(const demand_notice&) const
    {
        return {};
    }

    nlohmann::json operator()(const reach_notice& told) const
    {
        return {{"from", told.from.str()}, {"cut_off", told.is_cut_off}};
    }

    nlohmann::json operator()(const limit_notice& told) const
    {
        nlohmann::json fields = std::visit(limit_encoder{}, told.message);
        fields["from"] = told.from.str();
        return fields;
    }

    nlohmann::json operator()(const crash_notice& told) const
    {
        nlohmann::json fields = std::visit(crash_encoder{}, told.news);
        fields["from"] = told.from.str();
        return fields;
    }

    nlohmann::json operator()(const notice& told) const
    {
        return {
            {"from", told.from.str()},
            {"server", told.server.str()},
            {"news", name_of(told.news)},
            {"reaches_others", told.reaches_others}};
    }

    nlohmann::json operator()(const store_progress& progress) const
    {
        nlohmann::json fields{
            {"from", progress.from.str()},
            {"config_revision", progress.config.newest_change.value()},
            {"config_digest", progress.config.digest},
            {"servers_revision", progress.servers.newest_change.value()},
            {"servers_digest", progress.servers.digest},
            {"leads", progress.leads}};
        if (progress.age)
        {
            fields["confirmed_ms"] = milliseconds_of(*progress.age);
        }
        return fields;
    }
};

std::optional<notice> decode_notice(field_reader& fields)
{
    notice told;
    told.from = instance_id{fields.string("from")};
    told.server = server_id{fields.string("server")};
    const std::string name = fields.string("news");
    const auto* news = std::ranges::find(
        all_news,
        name,
        [](engine_observation one)
        {
            return std::string{name_of(one)};
        });
    if (news == all_news.end())
    {
        return std::nullopt;
    }
    told.news = *news;
    told.reaches_others =
        fields.has("reaches_others") && fields.boolean("reaches_others");
    return told;
}

std::vector<prompt_part>
decode_parts(field_reader& fields, std::string_view name)
{
    std::vector<prompt_part> parts;
    const nlohmann::json* const encoded = fields.child(name);
    const bool is_valid = encoded != nullptr && encoded->is_array() &&
                          encoded->size() <= max_parts &&
                          std::ranges::all_of(
                              *encoded,
                              [](const nlohmann::json& part)
                              {
                                  return part.is_number_unsigned();
                              });
    if (!is_valid)
    {
        fields.report(name, "must be a short list of numbers");
        return parts;
    }
    std::ranges::transform(
        *encoded,
        std::back_inserter(parts),
        [](const nlohmann::json& part)
        {
            return prompt_part{part.get<std::uint64_t>()};
        });
    return parts;
}

duration decode_milliseconds(field_reader& fields, std::string_view name)
{
    return std::chrono::milliseconds{
        fields.unsigned_integer(name, max_milliseconds)};
}

crash_notice decode_crash(const nlohmann::json& document, field_reader& fields)
{
    crash_notice told;
    told.from = instance_id{fields.string("from")};
    if (document.contains("crashed"))
    {
        crashed_run run;
        run.server = server_id{fields.string("crashed")};
        run.content.whole = fingerprint{fields.unsigned_integer(
            "content", std::numeric_limits<std::uint64_t>::max())};
        run.content.parts = decode_parts(fields, "parts");
        run.answered = fields.boolean("answered");
        told.news = std::move(run);
    }
    else if (document.contains("begun"))
    {
        begun_parts begun;
        begun.parts = decode_parts(fields, "begun");
        begun.age = decode_milliseconds(fields, "age_ms");
        told.news = std::move(begun);
    }
    else
    {
        part_quarantine quarantine;
        quarantine.parts = decode_parts(fields, "quarantined");
        std::ranges::sort(quarantine.parts);
        quarantine.count = static_cast<std::uint32_t>(fields.unsigned_integer(
            "count", std::numeric_limits<std::uint32_t>::max()));
        quarantine.age = decode_milliseconds(fields, "age_ms");
        quarantine.left = decode_milliseconds(fields, "left_ms");
        told.news = std::move(quarantine);
    }
    return told;
}

server_limit decode_server_limit(field_reader& fields)
{
    server_limit known;
    known.server = server_id{fields.string("limited")};
    known.age = decode_milliseconds(fields, "age_ms");
    if (fields.has("requests_per_second"))
    {
        known.limit = fields.non_negative_number("requests_per_second");
    }
    return known;
}

owner_state decode_state(field_reader& fields)
{
    const std::string name = fields.string("state");
    const auto* const state = std::ranges::find(
        all_states,
        name,
        [](owner_state candidate)
        {
            return name_of(candidate);
        });
    if (state == all_states.end())
    {
        fields.report("state", "unknown");
        return owner_state::available;
    }
    return *state;
}

limit_notice decode_limit(field_reader& fields)
{
    constexpr auto most = std::numeric_limits<std::uint64_t>::max();
    limit_notice told;
    told.from = instance_id{fields.string("from")};
    if (fields.has("replies"))
    {
        grant_reply reply;
        reply.number = fields.unsigned_integer("replies", most);
        reply.grant.granted = fields.boolean("granted");
        reply.grant.wait = decode_milliseconds(fields, "wait_ms");
        told.message = reply;
    }
    else if (fields.has("state"))
    {
        owner_presence presence;
        presence.instance = instance_id{fields.string("instance")};
        presence.state = decode_state(fields);
        presence.pause = decode_milliseconds(fields, "pause_ms");
        told.message = presence;
    }
    else if (fields.has("asks"))
    {
        const std::uint64_t number = fields.unsigned_integer("asks", most);
        told.message = grant_request{number, decode_server_limit(fields)};
    }
    else
    {
        told.message = decode_server_limit(fields);
    }
    return told;
}

bool is_limit_notice(const nlohmann::json& document)
{
    return document.contains("limited") || document.contains("replies") ||
           document.contains("state");
}

bool is_crash_notice(const nlohmann::json& document)
{
    return document.contains("crashed") || document.contains("begun") ||
           document.contains("quarantined");
}

store_progress decode_progress(field_reader& fields)
{
    constexpr auto most = std::numeric_limits<std::uint64_t>::max();
    store_progress progress;
    progress.from = instance_id{fields.string("from")};
    progress.config = {
        revision{fields.unsigned_integer("config_revision", most)},
        fields.unsigned_integer("config_digest", most)};
    progress.servers = {
        revision{fields.unsigned_integer("servers_revision", most)},
        fields.unsigned_integer("servers_digest", most)};
    if (fields.has("confirmed_ms"))
    {
        progress.age = decode_milliseconds(fields, "confirmed_ms");
    }
    progress.leads = fields.boolean("leads");
    return progress;
}

} // namespace

const instance_id& sender_of(const peer_message& message)
{
    return std::visit(
        [](const auto& any) -> const instance_id&
        {
            return any.from;
        },
        message);
}

std::string encode(const peer_message& message)
{
    const auto* demand = std::get_if<demand_notice>(&message);
    return demand != nullptr ? encode_demand(*demand)
                             : std::visit(encoder{}, message).dump();
}

std::optional<peer_message> decode_message(std::string_view datagram)
{
    if (is_demand(datagram))
    {
        const auto demand = decode_demand(datagram);
        return demand ? std::optional<peer_message>{*demand} : std::nullopt;
    }
    std::vector<mistake> mistakes;
    const auto document = parse_object(datagram, mistakes);
    if (!document)
    {
        return std::nullopt;
    }
    field_reader fields{*document, "", mistakes};
    std::optional<peer_message> message;
    if (document->contains("server"))
    {
        message = decode_notice(fields);
    }
    else if (document->contains("cut_off"))
    {
        message = reach_notice{
            instance_id{fields.string("from")}, fields.boolean("cut_off")};
    }
    else if (is_limit_notice(*document))
    {
        message = decode_limit(fields);
    }
    else if (is_crash_notice(*document))
    {
        message = decode_crash(*document, fields);
    }
    else
    {
        message = decode_progress(fields);
    }
    return mistakes.empty() ? message : std::nullopt;
}

} // namespace fireflysail
