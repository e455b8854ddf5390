#include "routing/fleet_shares.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace fireflysail
{

namespace
{

/// Share of the slots in use from which on the zone makes no difference.
constexpr double crowded_occupancy = 0.5;

/// Requests by which the turn of a server that reports all its slots used
/// beyond the mean is put off. With 4 more requests wait; 16 is no better.
constexpr double delay_per_load = 8;

/// A slow server gets fewer requests than in proportion to its speed, because a
/// request that waits there waits longer. With 1, the requests at a server five
/// times slower waited for twice as long; with 2, more waited at the others.
constexpr double slowdown_exponent = 1.5;

/// Lowest weight of servers in other zones, relative to their share.
constexpr double min_remote_weight = 0.02;

/// Local servers that work off less than this part of what their slots could
/// are no reason to stay in the zone.
constexpr double min_local_efficiency = 0.5;

template <typename Function>
double sum_over(std::span<const server_candidate> candidates, Function value)
{
    return std::transform_reduce(
        candidates.begin(), candidates.end(), 0.0, std::plus{}, value);
}

double usable_slots(const server_candidate& server)
{
    return server.slots * server.health;
}

/// Mean response time over the candidates in seconds; zero if unknown.
double mean_response_seconds(std::span<const server_candidate> candidates)
{
    answer_sum all;
    for (const server_candidate& server : candidates)
    {
        if (server.load != nullptr)
        {
            all.count += server.load->recent_answers().count;
            all.seconds += server.load->recent_answers().seconds;
        }
    }
    return all.count > 0 ? all.seconds / all.count : 0;
}

/// Part of its slots by which a server counts, as it may fail or be slow.
double efficiency(const server_candidate& server, double expected)
{
    const double slowdown = server.load != nullptr && expected > 0
                                ? server.load->slowdown(expected)
                                : 1;
    return server.health / std::pow(slowdown, slowdown_exponent);
}

/// Weight of servers in other zones. Their links cost more than a wait that is
/// unlikely, but less than one that is likely.
double remote_weight(
    std::span<const server_candidate> candidates,
    double mean_occupancy,
    double expected)
{
    double in_flight = 0;
    double slots = 0;
    for (const server_candidate& server : candidates)
    {
        if (server.is_local &&
            efficiency(server, expected) >= min_local_efficiency)
        {
            in_flight += server.in_flight;
            slots += server.slots;
        }
    }
    if (slots == 0)
    {
        return 1;
    }
    const double occupancy = std::max(mean_occupancy, in_flight / slots);
    const double crowding = std::min(1.0, occupancy / crowded_occupancy);
    return std::max(min_remote_weight, crowding * crowding * crowding);
}

/// Part of the slots that are used beyond the mean, by what the server told
/// this instance; fades as requests end.
double excess_load(
    const server_candidate& server, double occupancy, double response_seconds)
{
    if (!server.reported || response_seconds <= 0)
    {
        return 0;
    }
    const double now_left =
        std::exp(-to_seconds(server.report_age) / response_seconds);
    return (*server.reported / server.slots - occupancy * server.health) *
           now_left;
}

} // namespace

std::vector<server_share>
fleet_shares(std::span<const server_candidate> candidates, duration horizon)
{
    const double slots = sum_over(candidates, usable_slots);
    const double in_flight = sum_over(
        candidates,
        [](const server_candidate& server)
        {
            return server.in_flight;
        });
    const double ended_per_second = sum_over(
        candidates,
        [](const server_candidate& server)
        {
            return server.load != nullptr ? server.load->ended_per_second() : 0;
        });
    const double occupancy = in_flight / slots;
    const double expected = mean_response_seconds(candidates);
    const double remote = remote_weight(candidates, occupancy, expected);
    const auto rate = [&](const server_candidate& server)
    {
        return server.slots * efficiency(server, expected) *
               (server.is_local ? 1 : remote);
    };
    const double rates = sum_over(candidates, rate);
    // As many requests as have ended are to be sent in the horizon.
    const double sent = std::max(1.0, ended_per_second * to_seconds(horizon));
    std::vector<server_share> shares;
    for (const server_candidate& server : candidates)
    {
        // The proportions add up to one and the lacks to zero, so that at least
        // one share is positive.
        const double lack = occupancy * usable_slots(server) - server.in_flight;
        shares.push_back(
            {std::max(0.0, rate(server) / rates + lack / sent), 0});
    }
    const double sum = std::transform_reduce(
        shares.begin(),
        shares.end(),
        0.0,
        std::plus{},
        [](const server_share& each)
        {
            return each.share;
        });
    const auto count = static_cast<double>(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        server_share& each = shares[i];
        each.share /= sum;
        // A server that is to get few requests is not used because the others
        // are busy.
        each.delay = delay_per_load *
                     excess_load(candidates[i], occupancy, expected) *
                     std::min(1.0, each.share * count);
    }
    return shares;
}

} // namespace fireflysail
