#include "control/controller_cost.hpp"

#include "control/fleet_controller.hpp"
#include "control/lists_controller.hpp"

#include <fmt/format.h>

#include <chrono>
#include <vector>

namespace fireflysail::benchmarks
{

namespace
{

constexpr int rounds = 200;

template <class Action>
double microseconds_of(const Action& action)
{
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round)
    {
        action(round);
    }
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - start;
    return taken.count() / rounds;
}

store_snapshot engines_of(int count)
{
    store_snapshot snapshot;
    for (int index = 0; index < count; ++index)
    {
        engine server;
        server.address = {"10.0.0.1", 9000};
        server.zone = zone_id{"helwan-a"};
        server.region = region_id{"cairo-south"};
        server.kind = accelerator_kind{"big"};
        snapshot.version = snapshot.version.next();
        snapshot.objects.push_back(
            {{server_kind, fmt::format("engine-{}", index)},
             encode(server_registration{server}),
             snapshot.version});
    }
    return snapshot;
}

store_snapshot workspaces_of(int count)
{
    store_snapshot snapshot;
    for (int index = 0; index < count; ++index)
    {
        snapshot.version = snapshot.version.next();
        snapshot.objects.push_back(
            {{plan_kind, fmt::format("workspace-{}", index)},
             fmt::format(
                 R"({{"plan":"plan-{}","key_digests":["{}"]}})",
                 index % 20,
                 std::string(64, 'a')),
             snapshot.version});
    }
    return snapshot;
}

void measure_fleet(bench_report& report, int engines, std::uint64_t seed)
{
    snapshot_cell<fleet_snapshot> cell;
    fleet_controller controller{cell};
    controller.on_snapshot(engines_of(engines));
    engine_report reported;
    reported.holdings.resize(2);
    for (int index = 0; index < engines; ++index)
    {
        controller.on_report(
            server_id{fmt::format("engine-{}", index)}, reported);
    }
    const auto cost = microseconds_of(
        [&](int)
        {
            controller.on_report(server_id{"engine-0"}, reported);
            controller.publish_changes();
        });
    report.add(
        {fmt::format("publish a fleet of {} engines", engines),
         cost,
         "us",
         std::nullopt,
         std::nullopt,
         seed});
}

void measure_lists(bench_report& report, int workspaces, std::uint64_t seed)
{
    snapshot_cell<lists_snapshot> cell;
    lists_controller controller{cell};
    const auto snapshot = workspaces_of(workspaces);
    controller.on_snapshot(snapshot);
    auto version = snapshot.version;
    const auto cost = microseconds_of(
        [&](int)
        {
            version = version.next();
            auto object = snapshot.objects.front();
            object.version = version;
            controller.on_events(
                {version, {{store_event::change::written, object}}});
        });
    const auto add =
        [&](const std::string& what, double value, const std::string& unit)
    {
        report.add(
            {fmt::format("{} of {} workspaces", what, workspaces),
             value,
             unit,
             std::nullopt,
             std::nullopt,
             seed});
    };
    add("apply one edit to lists", cost, "us");
    add("hand over lists",
        static_cast<double>(controller.export_for_peer().size()),
        "bytes");
}

} // namespace

void measure_controller_cost(bench_report& report, std::uint64_t seed)
{
    for (const int engines : {80, 300, 600})
    {
        measure_fleet(report, engines, seed);
    }
    for (const int workspaces : {20, 350, 710})
    {
        measure_lists(report, workspaces, seed);
    }
}

} // namespace fireflysail::benchmarks
