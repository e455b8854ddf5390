#include "common/error.hpp"
#include "platform/config_codec.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace fireflysail::platform;
using namespace std::chrono_literals;

namespace
{

constexpr auto whole_config = R"({
"Version": 7,
"Routes": [
 {"Name": "r1", "Host": "Shop.Example", "PathPrefix": "/a/", "Kind": "streaming",
  "TimeoutMs": 20000, "GoalMs": 500, "Priority": 1, "MaxAttempts": 2,
  "Backends": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}],
  "Resumable": true, "Sticky": true, "GapTargetMs": 200},
 {"Name": "r2", "Host": "shop.example", "PathPrefix": "/a/b/", "Kind": "unsafe",
  "TimeoutMs": 1200, "Service": "s2", "Public": true},
 {"Name": "r3", "Host": "shop.example", "PathPrefix": "/c/", "Kind": "new"}],
"Services": [
 {"Name": "s1", "HealthPath": "/health", "MaxConns": 978, "Engine": {
   "Slots": 192, "KvTokenBytes": 426000, "step_ms": 0.85, "per_seq_ms": 0.00276,
   "read_per_s": 272000.0, "loads_at_once": 6, "Layers": 80, "LayerMb": 1750.0,
   "ActBytes": 21300, "usual": {"prompt": 772, "answer": 150},
   "Models": [{"Name": "m", "LoadS": 14.0}],
   "delays": [{"From": "a", "Target": "b", "delay_ms": 0.42}],
   "Kinds": [{"Name": "t4", "Mb": 14400.0, "pace": 15.0, "ReadX": 14.0}]}},
 {"Name": "s2", "HealthPath": "/health", "MaxConns": 110}],
"Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
           "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
"Tenants": [{"Name": "w1", "ApiKeys": ["k1", "k2"], "Priority": 1},
            {"Name": "w2", "ApiKeys": ["k3"]}]})";

} // namespace

TEST_CASE("a configuration becomes typed routes, the longest prefix first")
{
    const auto config = decode_config(whole_config).value();
    CHECK(config.version == 7);
    const route* stream = find_route(config, "shop.example", "/a/x");
    REQUIRE(stream != nullptr);
    CHECK(stream->kind == route_kind::stream);
    CHECK(stream->timeout == 20s);
    CHECK(stream->gap_objective == 200ms);
    CHECK(stream->most_attempts == 2);
    CHECK(stream->resumable);
    CHECK(stream->services.size() == 2);
    CHECK(stream->services.front() == weighted_service{service_id{"s1"}, 90});
    const route* plain = find_route(config, "shop.example", "/a/b/x");
    REQUIRE(plain != nullptr);
    CHECK(plain->name == "r2");
    CHECK(plain->kind == route_kind::non_idempotent);
    CHECK_FALSE(plain->needs_key);
    CHECK(plain->most_attempts == 1);
    CHECK(find_route(config, "shop.example", "/b/") == nullptr);
    CHECK(find_route(config, "other.example", "/a/") == nullptr);
}

TEST_CASE("a route of an unknown kind is left out")
{
    const auto config = decode_config(whole_config).value();
    CHECK(find_route(config, "shop.example", "/c/x") == nullptr);
}

TEST_CASE("a configuration tells model engines from plain services")
{
    const auto config = decode_config(whole_config).value();
    CHECK_FALSE(config.services.at(service_id{"s2"}).engines);
    const auto& engines = config.services.at(service_id{"s1"}).engines;
    REQUIRE(engines);
    CHECK(engines->layers == 80);
    CHECK(engines->load_time == 14s);
    CHECK(engines->loads_at_once == 6);
    CHECK(engines->mean_output_tokens == 150);
    CHECK(engines->accelerators.front().step_factor == 15.0);
    CHECK(engines->accelerators.front().prefill_factor == 14.0);
    CHECK(engines->links.front().delay == 420us);
}

TEST_CASE("a configuration names the workspace of each key")
{
    const auto config = decode_config(whole_config).value();
    CHECK(config.has_workspaces);
    CHECK(config.keys.at("k2").workspace == workspace_id{"w1"});
    CHECK(config.keys.at("k2").rank == 1U);
    CHECK_FALSE(config.keys.at("k3").rank);
    CHECK(config.limits.idle_time == 15s);
    CHECK(config.limits.body == byte_count{4194304});
}

TEST_CASE("a configuration without a version is malformed")
{
    CHECK(decode_config("{}").error() == errc::malformed);
    CHECK(decode_config("no json").error() == errc::malformed);
    CHECK(decode_config(R"({"Version": "7"})").error() == errc::malformed);
}

// Guards against one entry that keeps a whole configuration out of force.
TEST_CASE("an unreadable part of a configuration costs only itself")
{
    const std::string unreadable = GENERATE(
        as<std::string>{},
        R"("\ud83d")",
        "\"\xff\"",
        "1e999",
        std::string(400'000, '[') + std::string(400'000, ']'));
    const std::string route =
        R"({"Name": "r", "Host": "h", "PathPrefix": "/", "Service": "s"})";
    const auto decoded = decode_config(
        R"({"Version": 8, "Note": )" + unreadable + R"(,
            "Routes": [{"Name": )" +
        unreadable + "}, " + route + R"(],
            "Services": [{"Name": )" +
        unreadable + R"(}, {"Name": "s", "HealthPath": "/health"}],
            "Tenants": [{"Name": "w1", "ApiKeys": [)" +
        unreadable + R"(, "k1"]}, {"Name": )" + unreadable +
        R"(, "ApiKeys": ["k2"]}]})");
    REQUIRE(decoded);
    const traffic_config& config = decoded.value();
    CHECK(config.version == 8);
    CHECK(find_route(config, "h", "/x") != nullptr);
    CHECK(config.services.contains(service_id{"s"}));
    CHECK(config.has_workspaces);
    CHECK(config.keys.size() == 1);
    CHECK(config.keys.contains("k1"));
}

TEST_CASE("a configuration whose workspaces cannot be read lets in nobody")
{
    const auto text = GENERATE(
        R"({"Version": 8, "Tenants": "\ud83d"})",
        R"({"Version": 8, "Tenants": 1e999})",
        R"({"Version": 8, "Tenants": {}})");
    CHECK(decode_config(text).error() == errc::malformed);
}

// Guards against conversions whose result is undefined.
TEST_CASE("numbers of a configuration are bounded")
{
    const std::string number =
        GENERATE("1e300", "-1e300", "-1", "18446744073709551615");
    const auto decoded = decode_config(
        R"({"Version": 8, "Routes": [{"Name": "r", "Host": "h",
            "PathPrefix": "/", "Service": "s", "TimeoutMs": )" +
        number + R"(, "GoalMs": )" + number + R"(, "MaxAttempts": )" + number +
        R"(}], "Services": [{"Name": "s", "MaxConns": )" + number +
        R"(, "Engine": {"Layers": 80, "LayerMb": )" + number +
        R"(, "KvTokenBytes": )" + number + R"(, "step_ms": )" + number +
        R"(, "Models": [{"LoadS": )" + number + R"(}], "usual": {"prompt": )" +
        number + R"(}, "Kinds": [{"Name": "k", "Mb": )" + number +
        R"(, "pace": )" + number +
        R"(}]}}], "Tenants": [{"Name": "w", "Priority": )" + number +
        R"(, "ApiKeys": ["k"]}]})");
    REQUIRE(decoded);
    const traffic_config& config = decoded.value();
    const route* found = find_route(config, "h", "/x");
    REQUIRE(found != nullptr);
    CHECK(found->timeout >= 0s);
    CHECK(found->timeout <= 24h * 366);
    CHECK(found->most_attempts >= 1);
    const auto& engines = config.services.at(service_id{"s"}).engines;
    REQUIRE(engines);
    CHECK(engines->load_time >= 0s);
    CHECK(engines->load_time <= 24h * 366);
    CHECK(engines->mean_prompt_tokens <= 1'000'000'000);
    CHECK(engines->accelerators.front().step_factor > 0);
}

TEST_CASE("a model with too many layers has no engines")
{
    const auto decoded = decode_config(
        R"({"Version": 8,
            "Services": [{"Name": "s", "Engine": {"Layers": 4000000000}}]})");
    REQUIRE(decoded);
    CHECK_FALSE(decoded.value().services.at(service_id{"s"}).engines);
}
