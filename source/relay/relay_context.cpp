#include "relay/relay_context.hpp"

namespace fireflysail
{

namespace
{

/// Part of the slack that may be spent at one moment: losses come in bursts.
constexpr double burst_part = 0.75;

/// Part of the allowed share of retries that is used: requests that fail count
/// for the allowance and not for the budget, so this errs on the safe side.
constexpr double used_share = 0.9;

/// Options of this instance's share of a service's budget.
retry_budget::options share_of(const relay_context& relay)
{
    const service_bounds& bounds = relay.node.bounds;
    const double slack =
        bounds.retry_slack / static_cast<double>(relay.instances);
    const double most = slack * burst_part;
    const double window =
        std::chrono::duration<double>{bounds.retry_window}.count();
    retry_budget::options chosen;
    chosen.share_of_requests = bounds.retry_share * used_share;
    // A full bucket and its refill within one window stay within the slack.
    chosen.refill_per_second = (slack - most) / window;
    chosen.capacity = most;
    chosen.initial = most;
    return chosen;
}

} // namespace

retry_budget& budget_of(relay_context& relay, const service_id& service)
{
    const auto found = relay.retry_budgets.find(service);
    if (found != relay.retry_budgets.end())
    {
        return found->second;
    }
    return relay.retry_budgets
        .emplace(service, retry_budget{share_of(relay), relay.time.now()})
        .first->second;
}

void set_instances(relay_context& relay, std::size_t instances)
{
    if (relay.instances == instances)
    {
        return;
    }
    relay.instances = instances;
    for (auto& [service, budget] : relay.retry_budgets)
    {
        budget.configure(share_of(relay), relay.time.now());
    }
}

} // namespace fireflysail
