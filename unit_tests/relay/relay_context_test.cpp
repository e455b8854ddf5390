#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;

TEST_CASE("a request's budget stays in place while other services come")
{
    // A request holds its budget while it waits for its answer; the first
    // requests for other services must not move it.
    absl::node_hash_map<service_id, retry_budget> budgets;
    static_assert(std::is_same_v<
                  decltype(budgets),
                  decltype(relay_context::retry_budgets)>);
    const retry_budget* first =
        &budgets.emplace(service_id{"first"}, retry_budget{{}, {}})
             .first->second;
    for (int i = 0; i < 1000; ++i)
    {
        budgets.emplace(service_id{std::to_string(i)}, retry_budget{{}, {}});
    }
    CHECK(&budgets.at(service_id{"first"}) == first);
}
