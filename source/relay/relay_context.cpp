#include "relay/relay_context.hpp"

namespace fireflysail
{

namespace
{

/// Instances among which the fleet's retries are divided. The number that run
/// is not known, so it is taken from above.
constexpr double assumed_instances = 12;

/// Part of the slack that may be spent at one moment: losses come in bursts.
constexpr double burst_part = 0.75;

/// Part of the allowed share of retries that is used: requests that fail count
/// for the allowance and not for the budget, so this errs on the safe side.
constexpr double used_share = 0.9;

} // namespace

retry_budget& budget_of(relay_context& relay, const service_id& service)
{
    const auto found = relay.retry_budgets.find(service);
    if (found != relay.retry_budgets.end())
    {
        return found->second;
    }
    const service_bounds& bounds = relay.node.bounds;
    const double slack = bounds.retry_slack / assumed_instances;
    const double most = slack * burst_part;
    const double window =
        std::chrono::duration<double>{bounds.retry_window}.count();
    retry_budget::options chosen;
    chosen.share_of_requests = bounds.retry_share * used_share;
    // A full bucket and its refill within one window stay within the slack.
    chosen.refill_per_second = (slack - most) / window;
    chosen.most = most;
    chosen.at_start = most;
    return relay.retry_budgets
        .emplace(service, retry_budget{chosen, relay.time.now()})
        .first->second;
}

} // namespace fireflysail
