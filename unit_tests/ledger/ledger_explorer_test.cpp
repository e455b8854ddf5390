#include "ledger_model.hpp"

#include <absl/container/flat_hash_set.h>

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace fireflysail;

namespace
{

struct search_result
{
    std::size_t states = 0;
    /// Violations found, each with one sequence of actions that leads to it.
    std::map<std::string, std::string> violations;
};

/// Sequence of actions that leads to a state, as a linked list from the last
/// action to the first.
struct path_node
{
    ledger_model::action last;
    std::shared_ptr<const path_node> before;
};

struct pending_state
{
    ledger_model model;
    std::shared_ptr<const path_node> path;
};

std::string describe(const std::shared_ptr<const path_node>& path)
{
    if (path == nullptr)
    {
        return {};
    }
    return fmt::format(
        "{} {}", describe(path->before), describe_action(path->last));
}

/// Maps equal values to equal numbers, so that a visited state is stored as a
/// few numbers.
template <class T>
class value_ids
{
public:
    std::uint32_t of(const T& value)
    {
        const auto next = static_cast<std::uint32_t>(this->numbers.size());
        return this->numbers.try_emplace(value, next).first->second;
    }

private:
    std::map<T, std::uint32_t> numbers;
};

class visited_states
{
public:
    /// Returns true if the state was not visited before.
    bool add(const ledger_model& state)
    {
        const auto& sends = state.all_sends();
        const auto& instances = state.all_instances();
        return this->seen
            .insert(
                {this->sends.of(sends[0]),
                 this->sends.of(sends[1]),
                 this->instances.of(instances[0]),
                 this->instances.of(instances[1]),
                 this->environment.of(state.current_environment())})
            .second;
    }

    std::size_t size() const
    {
        return this->seen.size();
    }

private:
    value_ids<send_state> sends;
    value_ids<instance_state> instances;
    value_ids<environment_state> environment;
    absl::flat_hash_set<std::array<std::uint32_t, 5>> seen;
};

/// Visits every state that is reachable by any order of actions.
search_result explore(const model_options& options, bool stop_at_first = false)
{
    search_result found;
    visited_states seen;
    std::vector<pending_state> pending;
    pending.push_back({ledger_model{options}, nullptr});
    seen.add(pending.front().model);
    while (!pending.empty())
    {
        const pending_state now = std::move(pending.back());
        pending.pop_back();
        std::vector<std::string> violations = now.model.violations();
        if (now.model.all_answered())
        {
            std::ranges::copy(
                now.model.violations_after_resend(),
                std::back_inserter(violations));
        }
        for (const std::string& promise : violations)
        {
            if (!found.violations.contains(promise))
            {
                found.violations.emplace(promise, describe(now.path));
            }
        }
        if (stop_at_first && !found.violations.empty())
        {
            break;
        }
        for (const ledger_model::action& step : now.model.possible_actions())
        {
            ledger_model next = now.model;
            next.take(step);
            if (seen.add(next))
            {
                pending.push_back(
                    {std::move(next),
                     std::make_shared<const path_node>(
                         path_node{step, now.path})});
            }
        }
    }
    found.states = seen.size();
    return found;
}

void check_no_violations(const model_options& options)
{
    const search_result found = explore(options);
    for (const auto& [promise, path] : found.violations)
    {
        FAIL_CHECK(promise << " after" << path);
    }
    WARN(fmt::format("{} states", found.states));
}

} // namespace

TEST_CASE("no order of events violates a guarantee through one instance")
{
    model_options options;
    options.through = {0, 0};
    check_no_violations(options);
}

// These searches are too large for sanitizer builds. In other builds they run
// as a separate CTest entry.
TEST_CASE("no order of events violates a guarantee of the ledger", "[.search]")
{
    model_options options;
    SECTION("two instances, two faults and a crash") {}
    SECTION("a service with lookup")
    {
        options.service_lookup = true;
    }
    SECTION("three faults")
    {
        options.faults = 3;
        options.crashes = 0;
    }
    check_no_violations(options);
}

TEST_CASE("the search finds injected bugs")
{
    model_options options;
    SECTION("a claim expires when its claimant does not answer")
    {
        options.injected = injected_bug::claim_expires;
    }
    SECTION("a claimant dispatches an attempt that it disowned")
    {
        options.injected = injected_bug::dispatch_after_disowning;
    }
    SECTION("a claim is treated as confirmed without an answer")
    {
        options.injected = injected_bug::unconfirmed_dispatch;
    }
    CHECK(explore(options, true).violations.contains("ran twice"));
}
