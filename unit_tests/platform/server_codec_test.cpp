#include "common/error.hpp"
#include "platform/server_codec.hpp"

#include <catch2/catch.hpp>

#include <string>

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

// Guards against numbers that were cut to a few bits and taken for others.
TEST_CASE("an entry with a number out of range is malformed")
{
    const auto text = GENERATE(
        R"({"Service": "s", "Address": "10.0.0.9:0", "Zone": "a",
            "Slots": 6, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:65536", "Zone": "a",
            "Slots": 6, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:-80", "Zone": "a",
            "Slots": 6, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:4295047376", "Zone": "a",
            "Slots": 6, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.999:80", "Zone": "a",
            "Slots": 6, "State": "ready"})",
        R"({"Service": "s", "Address": "localhost:80", "Zone": "a",
            "Slots": 6, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:80", "Zone": "a",
            "Slots": 4294967302, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:80", "Zone": "a",
            "Slots": -6, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:80", "Zone": "a",
            "Slots": 6e300, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:80", "Zone": "a",
            "Slots": 99999999999999999999, "State": "ready"})",
        R"({"Service": "s", "Address": "10.0.0.9:80", "Zone": "a", "Slots": 6,
            "State": "ready",
            "Layers": [{"From": 4294967296, "Target": 4294967306}]})",
        R"({"Service": "s", "Address": "10.0.0.9:80", "Zone": "a", "Slots": 6,
            "State": "ready", "Layers": {"From": 0, "Target": 4294967295}})");
    CHECK(decode_server(self, text).error() == errc::malformed);
}

TEST_CASE("layers of a wrong type are no layers")
{
    const auto layers = GENERATE(
        "7",
        "\"x\"",
        "null",
        "[[0, 80]]",
        "[7]",
        R"({"From": "0"})",
        R"([{"From": 0.5, "Target": 3}])",
        R"([{"From": -1, "Target": 3}])");
    const auto entry = decode_server(
        self,
        std::string{R"({"Service": "s", "Address": "10.0.0.9:80", "Zone": "a",
                        "Slots": 6, "State": "ready", "Layers": )"} +
            layers + "}");
    REQUIRE(entry);
    CHECK(entry.value().layers.empty());
}
