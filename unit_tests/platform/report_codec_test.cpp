#include "common/error.hpp"
#include "platform/engine_client.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace fireflysail::platform;

TEST_CASE("a report tells orders, load and streams that wait")
{
    const auto report = decode_report(
        R"({"Busy": true, "Sequence": 2, "Queued": 1, "Running": 12,
            "KvUsed": 41000, "KvTotal": 90000, "pace": 1.5, "born": 12,
            "Layers": [{"From": 0, "Target": 4, "Version": 1}],
            "Stalled": [{"Id": "9c41", "Address": "10.0.0.2:8080"},
                        {"Id": 5}]})");
    REQUIRE(report);
    CHECK(report.value().busy);
    CHECK(report.value().orders_accepted == 2);
    CHECK(report.value().waiting == 1);
    CHECK(report.value().running == 12);
    CHECK(report.value().kv_total == 90000);
    CHECK(report.value().slowdown == 1.5);
    CHECK(report.value().started_at_ms == 12);
    CHECK(report.value().layers.size() == 1);
    REQUIRE(report.value().stalled.size() == 1);
    CHECK(report.value().stalled.front().attempt == attempt_id{"9c41"});
    CHECK(
        report.value().stalled.front().blocked_on ==
        endpoint{"10.0.0.2", 8080});
}

TEST_CASE("a report without its count of orders is malformed")
{
    CHECK(decode_report("{}").error() == errc::malformed);
    CHECK(decode_report("<html>").error() == errc::malformed);
}
