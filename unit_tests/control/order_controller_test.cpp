#include "control/order_controller.hpp"

#include "control/fake_engines.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace fireflysail;
using namespace fireflysail::testing;
using namespace std::chrono_literals;

namespace
{

struct cluster
{
    explicit cluster(
        fencing_support fencing,
        std::uint64_t seed = 1,
        const order_settings& settings = {})
        : settings{settings}
        , objects{time, store_model::watch_mode::immediate, seed}
    {
        this->engines.add("e1", "m", fencing);
        this->engines.add("e2", "m", fencing);
        this->engines.add("e3", "n", fencing);
    }

    /// Runs one instance alone and calls `also` after each of its steps.
    void run(
        order_instance& one,
        duration length,
        const std::function<void()>& also = [] {})
    {
        const auto end = this->time.now() + length;
        while (this->time.now() < end)
        {
            this->time.advance(tick);
            this->engines.report(this->time.now());
            one.step();
            also();
        }
    }

    /// Requires every engine to be in its stored desired state, except for
    /// layers that it must keep as their last holder.
    void check_converged()
    {
        order_cache cache{this->objects};
        REQUIRE(cache.load(this->time.now()));
        for (const auto& server : this->engines.engines)
        {
            const auto* orders = cache.find(server.id);
            const auto plan = orders == nullptr
                                  ? order_plan{}
                                  : plan_orders(orders->desired, server);
            INFO(server.id.str());
            const auto is_last = [&](const holding& held)
            {
                const auto now = this->engines.cell.load();
                const auto uncertain = cache.uncertain(*now);
                return !layer_coverage{*now, uncertain}.can_remove(
                    server.id, held, server.role);
            };
            REQUIRE(std::ranges::all_of(plan.unloads, is_last));
            REQUIRE((plan.loads.empty() || !plan.unloads.empty()));
        }
    }

    std::string models_of(const std::string& id)
    {
        std::string models;
        for (const auto& held : this->engines.find(server_id{id}).holdings)
        {
            models += held.model.str();
        }
        return models;
    }

    order_settings settings;
    manual_clock time;
    store_model objects;
    fake_engines engines;
    order_instance a{"a", objects, engines, time, settings};
    order_instance b{"b", objects, engines, time, settings};
};

desired_state hold(const std::string& model)
{
    return {server_role::mixed, {full_model(model)}};
}

/// Moves e1 from m to n and pauses the leader at its `pause_at`-th boundary,
/// while another leader requests the opposite. Returns the number of
/// boundaries.
int run_with_pause(fencing_support fencing, int pause_at)
{
    cluster all{fencing};
    all.run(all.a, 25s);
    REQUIRE(all.a.lease.held());
    int boundaries = 0;
    all.a.at_boundary = [&]
    {
        if (boundaries++ != pause_at)
        {
            return;
        }
        all.run(
            all.b,
            60s,
            [&]
            {
                (void)all.b.controller.set_desired(server_id{"e1"}, hold("m"));
                (void)all.b.controller.set_desired(server_id{"e2"}, hold("n"));
            });
        REQUIRE(all.b.lease.held());
    };
    (void)all.a.controller.set_desired(server_id{"e1"}, hold("n"));
    all.run(all.a, 40s);
    all.a.at_boundary = nullptr;
    all.run(
        all.a,
        60s,
        [&]
        {
            all.b.step();
        });
    all.check_converged();
    REQUIRE(all.a.sent_without_lease == 0);
    return boundaries;
}

} // namespace

TEST_CASE("a leader drives an engine to its desired state exactly once")
{
    cluster all{fencing_support::refuses_old};
    all.run(all.a, 15s);
    REQUIRE(all.a.lease.held());
    REQUIRE(all.a.controller.set_desired(server_id{"e1"}, hold("n")));
    // Orders of a previous leader may still be in flight.
    all.a.step();
    CHECK(all.engines.applied == 0);
    all.run(all.a, 60s);
    CHECK(all.models_of("e1") == "n");
    CHECK(all.engines.applied == 2);
    CHECK(all.a.controller.counters().sent == 2);
    CHECK(
        all.b.controller.set_desired(server_id{"e1"}, hold("m")).error() ==
        errc::forbidden);
}

TEST_CASE("the last holder of a layer range never unloads it")
{
    cluster all{fencing_support::refuses_old};
    all.run(all.a, 25s);
    REQUIRE(all.a.controller.set_desired(server_id{"e3"}, hold("m")));
    REQUIRE(all.a.controller.set_desired(
        server_id{"e1"}, {server_role::decode, {full_model("m")}}));
    REQUIRE(all.a.controller.set_desired(
        server_id{"e2"}, {server_role::decode, {full_model("m")}}));
    all.run(all.a, 120s);
    // e3 keeps n, and one of the others keeps serving prefill of m.
    CHECK(all.models_of("e3") == "n");
    CHECK(all.engines.find(server_id{"e1"}).role == server_role::decode);
    CHECK(all.engines.find(server_id{"e2"}).role == server_role::mixed);
    CHECK(all.a.controller.counters().blocked_unloads > 0);

    all.engines.add("e4", "n", fencing_support::refuses_old);
    all.run(all.a, 60s);
    CHECK(all.models_of("e3") == "m");
    CHECK(all.engines.find(server_id{"e2"}).role == server_role::decode);
}

TEST_CASE("an engine that loses its layers is ordered to load them again")
{
    cluster all{fencing_support::ignores};
    all.run(all.a, 25s);
    REQUIRE(all.a.controller.set_desired(server_id{"e1"}, hold("n")));
    all.run(all.a, 60s);
    all.engines.find(server_id{"e1"}).holdings.clear();
    all.run(all.a, 60s);
    CHECK(all.models_of("e1") == "n");
}

TEST_CASE("loads stay within the rate limit of the weight store")
{
    cluster all{fencing_support::ignores};
    constexpr int fresh_engines = 12;
    for (int index = 0; index < fresh_engines; ++index)
    {
        all.engines.add(
            fmt::format("f{}", index), "m", fencing_support::ignores);
    }
    all.run(all.a, 25s);
    for (int index = 0; index < fresh_engines; ++index)
    {
        const server_id id{fmt::format("f{}", index)};
        REQUIRE(all.a.controller.set_desired(
            id, {server_role::mixed, {full_model("m"), full_model("n")}}));
    }
    const auto loaded = [&]
    {
        return std::ranges::count_if(
            all.engines.engines,
            [](const engine& server)
            {
                return server.holdings.size() == 2;
            });
    };
    // A burst of 32 layers, then 4 a second; each engine loads 8.
    all.run(all.a, 250ms);
    CHECK(loaded() <= 4);
    all.run(all.a, 9750ms);
    CHECK(loaded() <= 9);
    CHECK(loaded() >= 8);
    all.run(all.a, 60s);
    CHECK(loaded() == fresh_engines);
}

TEST_CASE("a leader paused past its lease leaves no layer without a holder")
{
    const auto fencing =
        GENERATE(fencing_support::refuses_old, fencing_support::ignores);
    const int boundaries = run_with_pause(fencing, -1);
    REQUIRE(boundaries > 10);
    for (int pause_at = 0; pause_at < boundaries; ++pause_at)
    {
        INFO("pause at boundary " << pause_at);
        run_with_pause(fencing, pause_at);
    }
}

TEST_CASE("a new leader completes the changes of the previous one")
{
    cluster all{fencing_support::ignores};
    all.run(all.a, 25s);
    REQUIRE(all.a.controller.set_desired(server_id{"e1"}, hold("n")));
    all.run(all.a, 250ms);
    REQUIRE(all.models_of("e1").empty());
    // Instance a stops between its unload and its load.
    all.run(all.b, 60s);
    CHECK(all.models_of("e1") == "n");
}

TEST_CASE("orders without a response are repeated until confirmed")
{
    cluster all{fencing_support::ignores};
    all.run(all.a, 25s);
    int lost = 0;
    all.a.lose_order = [&]
    {
        return ++lost % 2 == 0 ? order_loss::arrives
                               : order_loss::never_arrives;
    };
    REQUIRE(all.a.controller.set_desired(server_id{"e1"}, hold("n")));
    all.run(all.a, 60s);
    CHECK(all.models_of("e1") == "n");
    CHECK(all.a.controller.counters().unknown >= 4);
}

TEST_CASE("an unload that arrives after its retry loses no layer")
{
    order_settings hasty;
    hasty.resend_interval = 1s;
    cluster all{fencing_support::ignores, 1, hasty};
    all.run(all.a, 25s);
    bool first = true;
    all.a.lose_order = [&]
    {
        return std::exchange(first, false) ? order_loss::arrives_late
                                           : order_loss::arrives;
    };
    REQUIRE(all.a.controller.set_desired(server_id{"e1"}, {}));
    all.run(all.a, 2s);
    all.a.lose_order = nullptr;
    REQUIRE(all.models_of("e1").empty());
    // Requests m back on e1 and off e2 as soon as the controller accepts it.
    all.run(
        all.a,
        60s,
        [&]
        {
            (void)all.a.controller.set_desired(server_id{"e1"}, hold("m"));
            (void)all.a.controller.set_desired(server_id{"e2"}, hold("n"));
        });
    CHECK(all.models_of("e1") == "m");
    CHECK(all.models_of("e2") == "n");
}

TEST_CASE("a report from before an unload does not count as its result")
{
    const auto fencing =
        GENERATE(fencing_support::refuses_old, fencing_support::ignores);
    const bool answer_lost = GENERATE(false, true);
    cluster all{fencing};
    all.engines.report_lag = 160;
    all.run(all.a, 25s);
    if (answer_lost)
    {
        all.a.lose_order = []
        {
            return order_loss::arrives;
        };
    }
    REQUIRE(all.a.controller.set_desired(server_id{"e1"}, hold("n")));
    all.run(all.a, 250ms);
    REQUIRE(all.models_of("e1").empty());
    // Instance a stops; the reports still show m on e1 when b becomes leader.
    all.run(
        all.b,
        200s,
        [&]
        {
            (void)all.b.controller.set_desired(server_id{"e1"}, hold("m"));
            (void)all.b.controller.set_desired(server_id{"e2"}, hold("n"));
        });
    REQUIRE(all.b.lease.held());
}

TEST_CASE("no layer is lost under random pauses, faults and lost orders")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        INFO("seed " << seed);
        std::mt19937_64 random{seed};
        order_settings settings;
        settings.resend_interval = std::chrono::seconds{1 + seed % 5};
        cluster all{fencing_support::ignores, seed, settings};
        for (const auto* id : {"e4", "e5", "e6"})
        {
            all.engines.add(
                id,
                random() % 2 == 0 ? "m" : "n",
                fencing_support::refuses_old);
        }
        const std::array<order_instance*, 2> both{&all.a, &all.b};
        std::array<bool, 2> paused{};
        const auto act = [&](std::size_t who, const auto& self) -> void
        {
            paused.at(who) = true;
            both.at(who)->at_boundary = [&, who]
            {
                if (random() % 150 != 0)
                {
                    return;
                }
                for (auto steps = random() % 300; steps > 0; --steps)
                {
                    all.time.advance(tick);
                    all.engines.report(all.time.now());
                    if (!paused.at(1 - who))
                    {
                        self(1 - who, self);
                    }
                }
            };
            both.at(who)->lose_order = nullptr;
            if (random() % 10 == 0)
            {
                both.at(who)->lose_order = [&random]
                {
                    return static_cast<order_loss>(random() % 3);
                };
            }
            if (random() % 10 == 0)
            {
                constexpr std::array roles{
                    server_role::mixed,
                    server_role::prefill,
                    server_role::decode};
                const server_id id{fmt::format("e{}", 1 + random() % 6)};
                (void)both.at(who)->controller.set_desired(
                    id,
                    {roles.at(random() % 3),
                     {full_model(random() % 2 == 0 ? "m" : "n")}});
            }
            both.at(who)->step();
            paused.at(who) = false;
        };
        for (int step = 0; step < 1500; ++step)
        {
            all.time.advance(tick);
            all.engines.report(all.time.now());
            if (step % 50 == 0)
            {
                store_faults faults;
                faults.down = random() % 10 == 0;
                faults.lost_answer_chance = 0.05;
                faults.late_write_chance = 0.05;
                faults.late_by = std::chrono::milliseconds{random() % 20'000};
                all.objects.set_faults(faults);
            }
            act(random() % 2, act);
        }
        CHECK(all.engines.applied > 0);
    }
}
