#include "admission/admission_shares.hpp"

#include "limits/fair_share.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <set>

namespace fireflysail
{

namespace
{

// A workspace of the most urgent rank gets up to eight times as much as one of
// the least urgent. With a much higher ratio, an urgent workspace at eight
// times its usual load would take the share of the others.
constexpr double max_weight = 8;

// Bounds the work of one division; more participants do not change the level.
constexpr double max_small_workspaces = 200;

double sum(const by_rank& amounts)
{
    return std::accumulate(amounts.begin(), amounts.end(), 0.0);
}

/// Weight of each rank, from `max_weight` for the most urgent one that occurs
/// to one for the least urgent.
by_rank weights_of(const by_rank& arrivals)
{
    const auto occurring = std::ranges::count_if(
        arrivals,
        [](double amount)
        {
            return amount > 0;
        });
    by_rank weights;
    double position = 0;
    for (std::size_t rank = 0; rank < arrivals.size(); ++rank)
    {
        const double depth =
            occurring > 1 ? position / static_cast<double>(occurring - 1) : 1;
        weights[rank] = std::pow(max_weight, 1 - std::min(depth, 1.0));
        position += arrivals[rank] > 0 ? 1 : 0;
    }
    return weights;
}

/// Arrivals of one workspace, or of all that are not listed.
struct participant
{
    double usual = 0;
    double excess = 0;
    double weight = 1;
    /// Equal parts that it counts as in the division.
    double parts = 1;
    double served = 0;
};

/// Adds to each participant that `takes_part` what it gets of `pool` for a part
/// of its arrivals; returns what is left.
double divide(
    std::vector<participant>& participants,
    double participant::* wanted,
    double pool,
    const std::function<bool(const participant&)>& takes_part)
{
    std::vector<double> parts;
    for (const participant& one : participants)
    {
        if (takes_part(one))
        {
            parts.insert(
                parts.end(),
                static_cast<std::size_t>(one.parts),
                one.*wanted / one.parts);
        }
    }
    const double level = fair_level(std::move(parts), pool);
    for (participant& one : participants)
    {
        if (takes_part(one))
        {
            const double given = std::min(one.*wanted, level * one.parts);
            one.served += given;
            pool -= given;
        }
    }
    return pool;
}

/// The listed workspaces, and last all others as one; `base` of the arrivals
/// of each is not divided.
std::vector<participant> participants_of(
    const std::vector<workspace_arrivals>& largest,
    const by_rank& arrivals,
    double base)
{
    const double total = sum(arrivals);
    const by_rank weights = weights_of(arrivals);
    const double mixed_weight = std::round(
        std::inner_product(
            weights.begin(), weights.end(), arrivals.begin(), 0.0) /
        total);
    std::vector<participant> result;
    double listed = 0;
    double smallest = total;
    for (const workspace_arrivals& workspace : largest)
    {
        const double usual =
            std::min(workspace.per_second, workspace.usual_per_second);
        const double weight = workspace.rank
                                  ? std::round(weights[std::min<std::size_t>(
                                        *workspace.rank, weights.size() - 1)])
                                  : mixed_weight;
        result.push_back(
            {.usual = usual * (1 - base),
             .excess = (workspace.per_second - usual) * (1 - base),
             .weight = weight,
             .parts = weight});
        listed += workspace.per_second;
        smallest = std::min(smallest, workspace.per_second);
    }
    const double rest = std::max(total - listed, 0.0);
    const double small_workspaces = std::clamp(
        std::ceil(rest / std::max(smallest, 1e-9)), 1.0, max_small_workspaces);
    result.push_back(
        {.usual = rest * (1 - base),
         .excess = 0,
         .weight = mixed_weight,
         .parts = mixed_weight * small_workspaces});
    return result;
}

} // namespace

by_rank share_by_rank(const by_rank& arrivals, double served, double floor)
{
    by_rank shares;
    shares.fill(1);
    if (served >= 1)
    {
        return shares;
    }
    const double base = std::clamp(floor, 0.0, std::max(served, 0.0));
    double left = (std::max(served, 0.0) - base) * sum(arrivals);
    for (std::size_t rank = 0; rank < arrivals.size(); ++rank)
    {
        const double given = std::min(left, arrivals[rank] * (1 - base));
        left -= given;
        if (arrivals[rank] > 0)
        {
            shares[rank] = base + given / arrivals[rank];
        }
        else
        {
            shares[rank] = left > 0 ? 1 : base;
        }
    }
    return shares;
}

workspace_shares share_by_workspace(
    const std::vector<workspace_arrivals>& largest,
    const by_rank& arrivals,
    double served,
    double floor)
{
    workspace_shares shares;
    const double total = sum(arrivals);
    if (served >= 1 || total <= 0)
    {
        return shares;
    }
    shares.others = std::max(served, 0.0);
    if (largest.empty())
    {
        return shares;
    }

    const double base = std::clamp(floor, 0.0, shares.others);
    std::vector<participant> participants =
        participants_of(largest, arrivals, base);
    std::set<double, std::greater<>> weights;
    for (const participant& one : participants)
    {
        weights.insert(one.weight);
    }
    double left = (shares.others - base) * total;
    for (const double weight : weights)
    {
        left = divide(
            participants,
            &participant::usual,
            left,
            [weight](const participant& one)
            {
                return one.weight == weight;
            });
    }
    divide(
        participants,
        &participant::excess,
        left,
        [](const participant& /*one*/)
        {
            return true;
        });

    const auto share_of = [base](const participant& one)
    {
        const double wanted = one.usual + one.excess;
        return wanted > 0 ? base + (1 - base) * one.served / wanted : 1.0;
    };
    for (std::size_t i = 0; i < largest.size(); ++i)
    {
        shares.listed[largest[i].workspace] = share_of(participants[i]);
    }
    shares.others = share_of(participants.back());
    return shares;
}

} // namespace fireflysail
