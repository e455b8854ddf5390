#include "control/instance_registry.hpp"

#include "store_model.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace std::chrono_literals;

TEST_CASE("a restarted instance is counted once")
{
    manual_clock time;
    store_model objects{time};
    const peer_instance a{instance_id{"a"}, {"10.1.0.1", 7340}};
    const peer_instance b{instance_id{"b"}, {"10.1.0.2", 7340}};
    instance_registry first{a, objects, time};
    instance_registry second{b, objects, time};
    instance_registry restarted{b, objects, time};
    CHECK(first.count() == 0);
    first.step();
    second.step();
    restarted.step();
    CHECK(first.count() == 0);
    time.advance(3s);
    first.step();
    restarted.step();
    CHECK(first.count() == 2);
    CHECK(restarted.count() == 2);
}

TEST_CASE("peers find a restarted instance at its new address")
{
    manual_clock time;
    store_model objects{time};
    const peer_instance a{instance_id{"a"}, {"10.1.0.1", 7340}};
    const peer_instance b{instance_id{"b"}, {"10.1.0.2", 7340}};
    const peer_instance moved{instance_id{"b"}, {"10.1.0.3", 7340}};
    instance_registry first{a, objects, time};
    instance_registry second{b, objects, time};
    first.step();
    second.step();
    time.advance(3s);
    first.step();
    CHECK(*first.peers() == std::vector{b});
    CHECK(first.has_peer(b.id, b.address.host));
    CHECK_FALSE(first.has_peer(b.id, moved.address.host));
    CHECK_FALSE(first.has_peer(a.id, a.address.host));
    // Restarts at another address, which peers read with their next count.
    instance_registry again{moved, objects, time};
    again.step();
    time.advance(3s);
    again.step();
    CHECK(*again.peers() == std::vector{a});
    time.advance(20s);
    first.step();
    CHECK(*first.peers() == std::vector{moved});
}
