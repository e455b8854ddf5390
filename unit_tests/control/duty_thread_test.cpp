#include "control/duty_thread.hpp"

#include "common/time_of_day.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace fireflysail;
using namespace std::chrono_literals;

TEST_CASE("a time of day that is set back does not hold up the duties")
{
    const boot_clock time;
    store_model objects{time};
    std::atomic<int> steps{0};
    duty_thread duty{
        lease_client{
            duty_id{"placement"},
            leader_lease{instance_id{"a"}, "incarnation"},
            objects,
            time},
        [](const leadership&, const std::function<bool()>&)
        {
            return true;
        },
        []
        {
            return true;
        },
        []
        {
            return false;
        },
        [&steps]
        {
            ++steps;
        }};
    // Only ends a test that hangs.
    const time_point patience = time.now() + 20s;
    const auto wait_for_steps = [&](int count)
    {
        while (steps < count && time.now() < patience)
        {
            std::this_thread::sleep_for(5ms);
        }
    };
    {
        const testing::early_time_of_day lead{1h};
        duty.start();
        wait_for_steps(2);
    }
    const int before = steps;
    wait_for_steps(before + 3);
    CHECK(steps >= before + 3);
}

TEST_CASE("an instance that cannot carry out a duty gives up its lease")
{
    const boot_clock time;
    store_model objects{time};
    lease_settings quick;
    quick.term = 300ms;
    quick.renew_interval = 50ms;
    quick.drift_margin = 20ms;
    std::atomic<bool> can_lead{true};
    std::atomic<int> done{0};
    duty_thread duty{
        lease_client{
            duty_id{"placement"},
            leader_lease{instance_id{"a"}, "incarnation", quick},
            objects,
            time},
        [&done](const leadership&, const std::function<bool()>&)
        {
            ++done;
            return true;
        },
        [&can_lead]
        {
            return can_lead.load();
        },
        []
        {
            return true;
        },
        [] {}};
    // Only ends a test that hangs.
    const time_point patience = time.now() + 20s;
    const auto wait_until = [&](bool leads)
    {
        while (duty.is_leader() != leads && time.now() < patience)
        {
            std::this_thread::sleep_for(5ms);
        }
        return duty.is_leader() == leads;
    };
    duty.start();
    REQUIRE(wait_until(true));
    can_lead = false;
    REQUIRE(wait_until(false));
    const auto released = objects.get({"lease", "placement"}, time.now() + 1s);
    REQUIRE(released);
    CHECK(decode_lease(released.value().value).value().released);
    const int before = done;
    can_lead = true;
    CHECK(wait_until(true));
    while (done == before && time.now() < patience)
    {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(done > before);
}
