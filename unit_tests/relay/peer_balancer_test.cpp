#include "relay/peer_balancer.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};
const instance_id first{"entry-1"};
const instance_id second{"entry-2"};

peer_balancer make_balancer(const std::vector<instance_id>& ids)
{
    auto known = std::make_shared<std::vector<peer_instance>>();
    for (const instance_id& id : ids)
    {
        known->push_back({id, {"127.0.0.1", 1}});
    }
    peer_balancer balancer{{}};
    balancer.set_peers(known);
    return balancer;
}

} // namespace

TEST_CASE("an instance that is cut off is not chosen while it says so")
{
    std::mt19937_64 random{1};
    peer_balancer balancer = make_balancer({first});
    balancer.on_notice(first, true, start);
    CHECK(balancer.is_cut_off(first, start + 1599ms));
    CHECK_FALSE(balancer.has_choice(start + 1599ms));
    CHECK_FALSE(balancer.choose({}, start + 1599ms, random));
    CHECK(balancer.has_choice(start + 1600ms));
    balancer.on_notice(first, true, start + 2s);
    balancer.on_notice(first, false, start + 2s);
    CHECK(balancer.choose({}, start + 2s, random)->id == first);
}

TEST_CASE("an instance that cannot be reached is left out for a while")
{
    std::mt19937_64 random{1};
    peer_balancer balancer = make_balancer({first});
    balancer.on_unreachable(first, start);
    CHECK_FALSE(balancer.has_choice(start + 2999ms));
    CHECK(balancer.has_choice(start + 3s));
}

TEST_CASE("the instance with fewer requests in flight is chosen")
{
    std::mt19937_64 random{1};
    peer_balancer balancer = make_balancer({first, second});
    const peer_balancer::in_flight counted{balancer, first};
    for (int i = 0; i < 20; ++i)
    {
        CHECK(balancer.choose({}, start, random)->id == second);
    }
    const std::vector without{second};
    CHECK(balancer.choose(without, start, random)->id == first);
}

TEST_CASE("idle instances are chosen equally often")
{
    std::mt19937_64 random{1};
    const peer_balancer balancer =
        make_balancer({first, second, instance_id{"entry-3"}});
    std::map<instance_id, int> chosen;
    for (int i = 0; i < 3000; ++i)
    {
        ++chosen[balancer.choose({}, start, random)->id];
    }
    CHECK(chosen.size() == 3);
    for (const auto& [id, count] : chosen)
    {
        CHECK(count > 850);
        CHECK(count < 1150);
    }
}
