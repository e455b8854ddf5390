#include "common/error.hpp"
#include "platform/server_codec.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace fireflysail::platform;

namespace
{

const server_id self{"i-1"};

} // namespace

TEST_CASE("an engine's entry names its address, state and layers")
{
    const auto entry = decode_server(
        self,
        R"({"Service": "s", "Address": "10.0.0.9:8080", "Zone": "a",
            "Slots": 192, "State": "ready", "Kind": "t4", "born": 1700000000000,
            "Layers": [{"From": 5, "Target": 9, "Version": 3}]})");
    REQUIRE(entry);
    CHECK(entry.value().id == self);
    CHECK(entry.value().address == endpoint{"10.0.0.9", 8080});
    CHECK(entry.value().mark == server_mark::serving);
    CHECK(entry.value().kind == accelerator_kind{"t4"});
    CHECK(entry.value().started_at_ms == 1700000000000);
    REQUIRE(entry.value().layers.size() == 1);
    CHECK(
        entry.value().layers.front().layers ==
        layer_range{layer_index{5}, layer_index{9}});
    CHECK(entry.value().layers.front().version == model_version{"3"});
}

TEST_CASE("a draining server is leaving")
{
    const auto entry = decode_server(
        self,
        R"({"Service": "s", "Address": "10.0.0.9:8080", "Zone": "a",
            "Slots": 6, "State": "draining"})");
    REQUIRE(entry);
    CHECK(entry.value().mark == server_mark::leaving);
    CHECK(entry.value().layers.empty());
}

TEST_CASE("an entry that names no usable server is malformed")
{
    const auto text = GENERATE(
        "",
        "\xff\xfe",
        "[]",
        R"({"Service": "s"})",
        R"({"Service": 5, "Address": "10.0.0.9:8080", "Zone": "a",
            "Slots": 6, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9", "Zone": "a",
            "Slots": 6, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:8080", "Zone": "a",
            "Slots": "6", "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:8080", "Zone": "a",
            "Slots": 6, "State": "resting"})");
    CHECK(decode_server(self, text).error() == errc::malformed);
}
