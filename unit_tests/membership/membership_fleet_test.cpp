#include "simulation/gossip_fleet.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

using namespace fireflysail;
using namespace fireflysail::simulation;
using namespace std::chrono_literals;

namespace
{

gossip_fleet_config
make_config(std::size_t instances, std::uint64_t seed, double loss = 0)
{
    gossip_fleet_config config;
    config.instances = instances;
    config.seed = seed;
    config.loss = loss;
    return config;
}

/// True if every running instance considers `gone` not live.
bool all_lost(const gossip_fleet& fleet, std::size_t count, std::size_t gone)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto state = fleet.state(i, gone);
        if (i != gone && fleet.is_up(i) && state && is_live(*state))
        {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("instances that know a few seeds find all others")
{
    const std::size_t count = GENERATE(2, 9, 50);
    const double loss = GENERATE(0.0, 0.1);
    CAPTURE(count, loss);
    gossip_fleet fleet{make_config(count, 1, loss)};
    fleet.start_all();
    const auto agree = [&]
    {
        return fleet.all_agree();
    };
    CHECK(fleet.run_until(agree, 6s).has_value());
    CHECK(fleet.at(0).is_settled());
    CHECK(fleet.at(0).fleet_size() == count);
}

TEST_CASE("an instance that joins unannounced is known to all within 3 s")
{
    gossip_fleet fleet{make_config(10, 2)};
    for (std::size_t i = 0; i < 9; ++i)
    {
        fleet.start(i, {0, 1});
    }
    fleet.run_for(10s);
    fleet.start(9, {4});
    const auto agree = [&]
    {
        return fleet.all_agree();
    };
    CHECK(fleet.run_until(agree, 3s).has_value());
}

TEST_CASE("a dead instance is found by all within 5 s")
{
    const std::size_t count = GENERATE(3, 9, 50);
    const double loss = GENERATE(0.0, 0.1);
    const std::uint64_t seed = GENERATE(1, 2, 3, 4);
    CAPTURE(count, loss, seed);
    gossip_fleet fleet{make_config(count, seed, loss)};
    fleet.start_all();
    fleet.run_for(10s);
    fleet.kill(1);
    const auto lost = [&]
    {
        return all_lost(fleet, count, 1);
    };
    CHECK(fleet.run_until(lost, 5s).has_value());
    CHECK(fleet.at(0).fleet_size() == count);
    // The platform's list no longer contains it, so it is confirmed gone.
    std::vector<endpoint> listed;
    for (std::size_t i = 0; i < count; ++i)
    {
        if (i != 1)
        {
            listed.push_back(gossip_fleet::address(i));
        }
    }
    fleet.at(0).update_instance_list(listed);
    CHECK(fleet.at(0).fleet_size() == count - 1);
}

TEST_CASE("a whole zone that dies is found within 5 s")
{
    gossip_fleet fleet{make_config(48, 3, 0.02)};
    fleet.start_all();
    fleet.run_for(10s);
    for (std::size_t i = 0; i < 48; i += 3)
    {
        fleet.kill(i);
    }
    const auto agree = [&]
    {
        return fleet.all_agree();
    };
    CHECK(fleet.run_until(agree, 5s).has_value());
}

TEST_CASE("lost, duplicate and late messages cause no false death")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(seed);
    gossip_fleet_config config = make_config(20, seed, 0.1);
    config.duplicates = 0.1;
    config.max_delay = 100ms;
    gossip_fleet fleet{config};
    fleet.start_all();
    fleet.run_for(10min);
    CHECK(fleet.false_deaths() == 0);
    CHECK(fleet.false_suspicions() <= 1);
    CHECK(fleet.all_agree());
}

TEST_CASE("broken links cause no false death while indirect probes succeed")
{
    gossip_fleet fleet{make_config(9, 1)};
    fleet.start_all();
    fleet.run_for(5s);
    fleet.set_broken(
        [](std::size_t a, std::size_t b)
        {
            return (a == 2 && b != 5 && b != 6) || (b == 2 && a != 5 && a != 6);
        });
    fleet.run_for(60s);
    CHECK(fleet.false_deaths() == 0);
    CHECK(fleet.state(0, 2) == peer_state::alive);
}

TEST_CASE("partitioned zones find each other again")
{
    const std::size_t count = GENERATE(9, 30);
    CAPTURE(count);
    gossip_fleet fleet{make_config(count, 4)};
    fleet.start_all();
    fleet.run_for(10s);
    for (std::size_t i = 0; i < count; ++i)
    {
        // Without seeds, the zones can find each other only through the records
        // of dead peers.
        fleet.at(i).update_instance_list({});
    }
    fleet.set_broken(
        [](std::size_t a, std::size_t b)
        {
            return (a % 3 == 0) != (b % 3 == 0);
        });
    fleet.run_for(60s);
    CHECK(fleet.state(0, 1) == peer_state::dead);
    CHECK(fleet.state(1, 0) == peer_state::dead);
    CHECK(fleet.state(1, 2) == peer_state::alive);
    // No instance is confirmed gone, so neither side treats itself as the whole
    // fleet.
    CHECK(fleet.at(0).fleet_size() == count);
    fleet.set_broken(
        [](std::size_t, std::size_t)
        {
            return false;
        });
    const auto agree = [&]
    {
        return fleet.all_agree();
    };
    CHECK(fleet.run_until(agree, 15s).has_value());
}

TEST_CASE("a resumed instance rejoins and declares no peer dead")
{
    gossip_fleet fleet{make_config(9, 5)};
    fleet.start_all();
    fleet.run_for(10s);
    fleet.pause(3);
    fleet.run_for(30s);
    CHECK(all_lost(fleet, 9, 3));
    fleet.wake(3);
    const auto agree = [&]
    {
        return fleet.all_agree();
    };
    CHECK(fleet.run_until(agree, 3s).has_value());
    CHECK(fleet.false_deaths() <= 1);
    CHECK(fleet.at(3).self().life > incarnation{1'700'000'000'001});
}

TEST_CASE("a suspicion does not expire while the suspecting process is paused")
{
    gossip_fleet fleet{make_config(9, 5)};
    fleet.start_all();
    fleet.run_for(10s);
    fleet.set_broken(
        [](std::size_t a, std::size_t b)
        {
            return a == 3 || b == 3;
        });
    const auto suspects = [&]
    {
        return fleet.state(3, 0) == peer_state::suspect ||
               fleet.state(3, 1) == peer_state::suspect ||
               fleet.state(3, 2) == peer_state::suspect;
    };
    REQUIRE(fleet.run_until(suspects, 4s).has_value());
    fleet.pause(3);
    fleet.run_for(10s);
    fleet.set_broken(
        [](std::size_t, std::size_t)
        {
            return false;
        });
    fleet.wake(3);
    fleet.run_for(5s);
    CHECK(fleet.false_deaths() == 0);
    CHECK(fleet.all_agree());
}

TEST_CASE("a restart at the same address replaces the old instance")
{
    // The new process has a lower first incarnation if the machine's clock was
    // set back.
    const bool clock_set_back = GENERATE(false, true);
    CAPTURE(clock_set_back);
    gossip_fleet fleet{make_config(9, 6)};
    fleet.start_all();
    fleet.run_for(10s);
    const instance_id old = fleet.id_of(2);
    fleet.kill(2);
    fleet.run_for(500ms);
    fleet.start(2, {0, 1}, clock_set_back ? -100000 : 0);
    const auto replaced = [&]
    {
        return fleet.all_agree() && fleet.at(0).fleet_size() == 9;
    };
    CHECK(fleet.run_until(replaced, 3s).has_value());
    CHECK(fleet.id_of(2) != old);
}

TEST_CASE("an instance that leaves is gone at once and stays gone")
{
    gossip_fleet fleet{make_config(9, 7, 0.1)};
    fleet.start_all();
    fleet.run_for(10s);
    fleet.at(4).leave();
    fleet.run_for(1500ms);
    fleet.kill(4);
    CHECK(all_lost(fleet, 9, 4));
    fleet.run_for(30s);
    CHECK(fleet.state(0, 4) == peer_state::left);
    CHECK(fleet.at(0).fleet_size() == 8);
}

TEST_CASE("the dead are forgotten after a time")
{
    gossip_fleet fleet{make_config(5, 8)};
    fleet.start_all();
    fleet.run_for(5s);
    fleet.kill(4);
    fleet.run_for(9min);
    CHECK(fleet.state(0, 4) == peer_state::dead);
    fleet.run_for(4min);
    CHECK_FALSE(fleet.state(0, 4).has_value());
}

TEST_CASE("a shared entry reaches all, newest version first, and runs out")
{
    const double loss = GENERATE(0.0, 0.1);
    CAPTURE(loss);
    gossip_fleet fleet{make_config(50, 9, loss)};
    fleet.start_all();
    fleet.run_for(10s);
    fleet.at(0).share({"mark/server-1", 2, "leaving", 60s}, fleet.now());
    fleet.at(1).share({"mark/server-1", 1, "serving", 60s}, fleet.now());
    const auto reached = [&]
    {
        for (std::size_t i = 0; i < 50; ++i)
        {
            const auto entries = fleet.at(i).entries(fleet.now());
            if (entries.size() != 1 || entries[0].version != 2)
            {
                return false;
            }
        }
        return true;
    };
    CHECK(fleet.run_until(reached, 3s).has_value());
    CHECK_FALSE(fleet.at(7).take_new_entries(fleet.now()).empty());
    CHECK(fleet.at(7).take_new_entries(fleet.now()).empty());
    // An instance that starts later receives the entry too.
    fleet.kill(30);
    fleet.start(30, {0});
    CHECK(fleet.run_until(reached, 3s).has_value());
    fleet.run_for(70s);
    CHECK(fleet.at(30).entries(fleet.now()).empty());
}
