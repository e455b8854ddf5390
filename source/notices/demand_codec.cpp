#include "notices/demand_codec.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <cstddef>
#include <limits>
#include <utility>
#include <vector>

namespace fireflysail
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t header_fields = 5;

/// One count of a row, and the units in which it is written.
struct column
{
    double demand_counts::* count;
    double units;
};

constexpr column in_flight{&demand_counts::in_flight, 1};
constexpr column arrivals{&demand_counts::arrivals, 10};
constexpr column refused{&demand_counts::refused, 10};
constexpr column answered{&demand_counts::answered, 10};
constexpr column failed{&demand_counts::failed, 10};
constexpr column response_time{&demand_counts::response_time, 1000};

struct table
{
    demand_subject subject;
    bool has_rank;
    std::vector<column> columns;
};

const std::array<table, 4>& tables()
{
    static const std::array<table, 4> all{
        table{
            demand_subject::service_rank, true, {in_flight, arrivals, refused}},
        table{demand_subject::workspace, false, {arrivals}},
        table{demand_subject::pipeline, false, {in_flight}},
        table{
            demand_subject::plain_server,
            false,
            {in_flight, answered, failed, response_time}}};
    return all;
}

json encode_table(const table& described, const demand_rows& rows)
{
    json encoded = json::array();
    for (const auto& [key, counts] : rows)
    {
        if (key.subject != described.subject)
        {
            continue;
        }
        encoded.push_back(key.id);
        if (described.has_rank)
        {
            encoded.push_back(key.rank);
        }
        for (const column& each : described.columns)
        {
            encoded.push_back(static_cast<std::uint64_t>(
                std::llround(counts.*each.count * each.units)));
        }
    }
    return encoded;
}

/// False if there is anything in it that is no row.
bool decode_table(
    const table& described, const json& encoded, demand_rows& rows)
{
    const std::size_t width =
        1 + (described.has_rank ? 1 : 0) + described.columns.size();
    if (!encoded.is_array() || encoded.size() % width != 0)
    {
        return false;
    }
    std::size_t at = 0;
    bool is_valid = true;
    const auto next = [&](std::uint64_t most)
    {
        const json& value = encoded[at++];
        const bool is_number =
            value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
        is_valid = is_valid && is_number;
        return is_number ? value.get<std::uint64_t>() : 0;
    };
    while (is_valid && at < encoded.size())
    {
        demand_key key{described.subject, 0, 0};
        key.id = static_cast<std::uint16_t>(
            next(std::numeric_limits<std::uint16_t>::max()));
        if (described.has_rank)
        {
            key.rank = static_cast<std::uint8_t>(next(max_demand_rank));
        }
        demand_counts counts;
        for (const column& each : described.columns)
        {
            counts.*each.count =
                static_cast<double>(
                    next(std::numeric_limits<std::uint32_t>::max())) /
                each.units;
        }
        rows[key] += counts;
    }
    return is_valid;
}

bool is_number_up_to(const json& value, std::uint64_t most)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
}

} // namespace

bool is_demand(std::string_view datagram)
{
    return !datagram.empty() && datagram.front() != '{';
}

std::string encode_demand(const demand_notice& told)
{
    const demand_sum& sum = told.message.sum;
    json encoded = json::array(
        {told.from.str(),
         told.message.round,
         told.message.step,
         sum.covered,
         static_cast<std::uint64_t>(
             std::chrono::duration_cast<std::chrono::milliseconds>(sum.age)
                 .count())});
    for (const table& described : tables())
    {
        encoded.push_back(encode_table(described, sum.rows));
    }
    std::string bytes;
    json::to_cbor(encoded, bytes);
    return bytes;
}

std::optional<demand_notice> decode_demand(std::string_view datagram)
{
    const json encoded =
        json::from_cbor(datagram.begin(), datagram.end(), true, false);
    constexpr auto most = std::numeric_limits<std::uint32_t>::max();
    const bool is_message =
        encoded.is_array() &&
        encoded.size() == header_fields + tables().size() &&
        encoded[0].is_string() && is_number_up_to(encoded[1], most) &&
        is_number_up_to(encoded[2], std::numeric_limits<std::uint8_t>::max()) &&
        is_number_up_to(encoded[3], most) && is_number_up_to(encoded[4], most);
    if (!is_message)
    {
        return std::nullopt;
    }
    demand_notice told;
    told.from = instance_id{encoded[0].get<std::string>()};
    told.message.round = encoded[1].get<std::uint32_t>();
    told.message.step = encoded[2].get<std::uint8_t>();
    told.message.sum.covered = encoded[3].get<std::uint32_t>();
    told.message.sum.age =
        std::chrono::milliseconds{encoded[4].get<std::uint32_t>()};
    for (std::size_t i = 0; i < tables().size(); ++i)
    {
        if (!decode_table(
                tables()[i], encoded[header_fields + i], told.message.sum.rows))
        {
            return std::nullopt;
        }
    }
    return told;
}

} // namespace fireflysail
