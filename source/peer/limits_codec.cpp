#include "peer/limits_codec.hpp"

#include "common/error.hpp"
#include "limits/limit_timing.hpp"
#include "peer/json_fields.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr double longest_seconds = 3600;
// Rates travel in thousandths: shorter than a double in full, and rounded
// down, so that a lease is never more than what its owner counts.
constexpr double rate_scale = 1000;

std::uint64_t encode_rate(double rate)
{
    return static_cast<std::uint64_t>(
        std::floor(std::max(rate, 0.0) * rate_scale));
}

json encode_rates(const limit_rates& rates)
{
    return json::array(
        {encode_rate(rates.requests), encode_rate(rates.tokens)});
}

limit_rates decode_rates(const json& field)
{
    const json& parts = field;
    require_tuple(parts, 2);
    return {
        static_cast<double>(read_unsigned(parts[0])) / rate_scale,
        static_cast<double>(read_unsigned(parts[1])) / rate_scale};
}

std::uint64_t encode_duration(duration time)
{
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(time);
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(micros.count(), 0));
}

duration decode_duration(const json& field)
{
    return from_seconds(std::min(read_amount(field) / 1e6, longest_seconds));
}

json encode_demand(const workspace_demand& demand)
{
    return json::array(
        {demand.workspace.str(),
         encode_rates(demand.held),
         encode_rates(demand.held_burst),
         encode_rates(demand.wanted),
         demand.held_slots,
         demand.wanted_slots,
         demand.running,
         demand.waiting_requests,
         demand.largest_cost,
         demand.returned_permits});
}

workspace_demand decode_demand(const json& field)
{
    const json& parts = field;
    require_tuple(parts, 10);
    workspace_demand demand;
    demand.workspace = workspace_id{read_name(parts[0])};
    demand.held = decode_rates(parts[1]);
    demand.held_burst = decode_rates(parts[2]);
    demand.wanted = decode_rates(parts[3]);
    demand.held_slots = read_count(parts[4]);
    demand.wanted_slots = read_count(parts[5]);
    demand.running = read_count(parts[6]);
    demand.waiting_requests = read_count(parts[7]);
    demand.largest_cost = read_unsigned(parts[8]);
    demand.returned_permits = read_count(parts[9]);
    return demand;
}

json encode_lease(const workspace_lease& lease)
{
    return json::array(
        {lease.workspace.str(),
         static_cast<unsigned>(lease.status),
         encode_rates(lease.rates),
         encode_rates(lease.burst),
         encode_rates(lease.tail),
         lease.slots,
         json::array(
             {lease.permits.count,
              lease.permits.cost,
              encode_duration(lease.permits.delay),
              encode_duration(lease.permits.spacing)}),
         encode_duration(lease.retry_after)});
}

workspace_lease decode_lease(const json& field)
{
    const json& parts = field;
    require_tuple(parts, 8);
    workspace_lease lease;
    lease.workspace = workspace_id{read_name(parts[0])};
    const std::uint32_t status = read_count(parts[1]);
    if (status > static_cast<std::uint32_t>(lease_status::not_owner))
    {
        throw field_error{"not a status"};
    }
    lease.status = static_cast<lease_status>(status);
    lease.rates = decode_rates(parts[2]);
    lease.burst = decode_rates(parts[3]);
    lease.tail = decode_rates(parts[4]);
    lease.slots = read_count(parts[5]);
    const json& permits = parts[6];
    require_tuple(permits, 4);
    lease.permits = {
        read_count(permits[0]),
        read_unsigned(permits[1]),
        decode_duration(permits[2]),
        decode_duration(permits[3])};
    lease.retry_after = decode_duration(parts[7]);
    return lease;
}

json encode_holder(const lease_holder& one)
{
    return json::array(
        {one.holder.str(),
         encode_rates(one.rates),
         encode_rates(one.burst),
         one.slots,
         encode_duration(one.remaining)});
}

lease_holder decode_holder(const json& field)
{
    const json& parts = field;
    require_tuple(parts, 5);
    return {
        instance_id{read_name(parts[0])},
        decode_rates(parts[1]),
        decode_rates(parts[2]),
        read_count(parts[3]),
        decode_duration(parts[4])};
}

released_workspace decode_released(const json& field)
{
    const json& parts = field;
    require_tuple(parts, 2);
    released_workspace released{workspace_id{read_name(parts[0])}, {}};
    if (!parts[1].is_array())
    {
        throw field_error{"not a list"};
    }
    std::ranges::transform(
        parts[1], std::back_inserter(released.holders), &decode_holder);
    return released;
}

workspace_id decode_workspace(const json& field)
{
    return workspace_id{read_name(field)};
}

limits_request read_request(const json& message)
{
    const instance_id from{read_name(message.at("f"))};
    const std::uint64_t sequence = read_unsigned(message.at("q"));
    if (message.contains("c"))
    {
        claim_message claim{from, sequence, {}};
        std::ranges::transform(
            read_list(message, "c"),
            std::back_inserter(claim.workspaces),
            &decode_workspace);
        return claim;
    }
    demand_message demand{from, sequence, read_unsigned(message.at("l")), {}};
    std::ranges::transform(
        read_list(message, "w"),
        std::back_inserter(demand.demands),
        &decode_demand);
    return demand;
}

lease_message read_leases(const json& message)
{
    lease_message leases{
        instance_id{read_name(message.at("o"))},
        read_unsigned(message.at("q")),
        {}};
    std::ranges::transform(
        read_list(message, "w"),
        std::back_inserter(leases.leases),
        &decode_lease);
    return leases;
}

claim_reply read_claim_reply(const json& message)
{
    claim_reply reply{read_unsigned(message.at("q")), {}, {}};
    std::ranges::transform(
        read_list(message, "h"),
        std::back_inserter(reply.released),
        &decode_released);
    std::ranges::transform(
        read_list(message, "k"),
        std::back_inserter(reply.kept),
        &decode_workspace);
    return reply;
}

std::string dump(const json& message)
{
    return message.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string encode(const demand_message& message)
{
    json encoded{
        {"f", message.from.str()},
        {"q", message.sequence},
        {"l", message.last_reply},
        {"w", json::array()}};
    std::ranges::transform(
        message.demands, std::back_inserter(encoded["w"]), &encode_demand);
    return dump(encoded);
}

std::string encode(const lease_message& message)
{
    json encoded{
        {"o", message.owner.str()},
        {"q", message.sequence},
        {"w", json::array()}};
    std::ranges::transform(
        message.leases, std::back_inserter(encoded["w"]), &encode_lease);
    return dump(encoded);
}

std::string encode(const claim_message& message)
{
    json encoded{
        {"f", message.from.str()},
        {"q", message.sequence},
        {"c", json::array()}};
    for (const workspace_id& workspace : message.workspaces)
    {
        encoded["c"].push_back(workspace.str());
    }
    return dump(encoded);
}

std::string encode(const claim_reply& message)
{
    json encoded{
        {"q", message.sequence}, {"h", json::array()}, {"k", json::array()}};
    for (const released_workspace& one : message.released)
    {
        json holders = json::array();
        std::ranges::transform(
            one.holders, std::back_inserter(holders), &encode_holder);
        encoded["h"].push_back(
            json::array({one.workspace.str(), std::move(holders)}));
    }
    for (const workspace_id& workspace : message.kept)
    {
        encoded["k"].push_back(workspace.str());
    }
    return dump(encoded);
}

result<limits_request> decode_limits_request(std::string_view text)
{
    return decode_with(&read_request, text);
}

result<lease_message> decode_lease_message(std::string_view text)
{
    return decode_with(&read_leases, text);
}

result<claim_reply> decode_claim_reply(std::string_view text)
{
    return decode_with(&read_claim_reply, text);
}

} // namespace fireflysail
