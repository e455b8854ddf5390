#include "common/error.hpp"
#include "common/store_era.hpp"
#include "platform/object_store.hpp"
#include "platform/server_codec.hpp"
#include "scripted_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using namespace fireflysail;
using namespace fireflysail::platform;
using namespace std::chrono_literals;

namespace
{

const std::string kind = "servers";

const std::string sound =
    R"({"Service": "s", "Address": "10.0.0.9:8080", "Zone": "a", "Slots": 6,
        "State": "ready"})";

std::string object_text(std::string_view name, std::string_view spec)
{
    return fmt::format(
        R"({{"Metadata": {{"Name": "{}", "Revision": 7}}, "Spec": {}}})",
        name,
        spec);
}

std::string list_text(std::string_view items)
{
    return fmt::format(
        R"({{"Items": [{}], "HasMore": false, "AsOf": 9}})", items);
}

std::string event_text(std::string_view name, std::string_view spec)
{
    return fmt::format(
        R"({{"Object": {}, "Deleted": false}})", object_text(name, spec));
}

/// An entry of another writer that cannot be read.
std::string unreadable_entry()
{
    const std::string deep =
        std::string(400'000, '[') + std::string(400'000, ']');
    return GENERATE_COPY(
        fmt::format(R"({{"Zone": {}}})", deep),
        std::string{R"({"Zone": "\ud83d"})"},
        std::string{"{\"Zone\": \"\xff\xfe\"}"},
        std::string{"\"\xff\xfe\""},
        std::string{R"({"Slots": 1e999})"});
}

} // namespace

// Guards against the end of the process by lists in lists in an entry, and
// against one entry that hides all others.
TEST_CASE("an unreadable entry costs only itself")
{
    const std::string unreadable = unreadable_entry();
    const boot_clock time;
    const scripted_store server{
        [&unreadable](const std::string& target) -> std::string
        {
            if (target.find("Watch=") != std::string::npos)
            {
                return fmt::format(
                    R"({{"events": [{}, {}, {}], "AsOf": 9}})",
                    event_text("first", sound),
                    event_text("other", unreadable),
                    event_text("last", sound));
            }
            return list_text(fmt::format(
                "{}, {}, {}",
                object_text("first", sound),
                object_text("other", unreadable),
                object_text("last", sound)));
        }};
    object_store store{server.address(), time};
    const auto is_server = [](const stored_object& object)
    {
        return decode_server(server_id{object.key.name}, object.value)
            .has_value();
    };
    SECTION("in a list")
    {
        const auto listed = store.list({kind}, time.now() + 10s);
        REQUIRE(listed);
        REQUIRE(listed.value().objects.size() == 3);
        CHECK(is_server(listed.value().objects[0]));
        CHECK_FALSE(is_server(listed.value().objects[1]));
        CHECK(is_server(listed.value().objects[2]));
    }
    SECTION("among changes")
    {
        const auto changes = store.watch({kind}, revision{5}, time.now() + 10s);
        REQUIRE(changes);
        REQUIRE(changes.value().events.size() == 3);
        CHECK(is_server(changes.value().events[0].object));
        // Replaces what the entry said before.
        CHECK(changes.value().events[1].object.key.name == "other");
        CHECK_FALSE(is_server(changes.value().events[1].object));
        CHECK(is_server(changes.value().events[2].object));
    }
}

// Guards against a list that waits on a connection that went silent while it
// was idle.
TEST_CASE("a list does not wait on a silent connection")
{
    const boot_clock time;
    scripted_store server{
        [](const std::string& target) -> std::string
        {
            return target.find("Watch=") == std::string::npos
                       ? list_text("")
                       : R"({"events": [], "AsOf": 9})";
        }};
    object_store store{server.address(), time};
    REQUIRE(store.list({kind}, time.now() + 10s));
    REQUIRE(store.watch({kind}, revision{9}, time.now() + 10s));
    SECTION("and neither does a write")
    {
        server.silence_open_connections();
        const auto written = store.update(
            {kind, "name"}, "value", revision{7}, time.now() + 10s);
        // The script answers with a list, not with an object.
        CHECK(written.error() == errc::unknown_effect);
        CHECK(server.connection_count() == 2);
    }
    SECTION("however many are kept")
    {
        REQUIRE(store.list({kind}, time.now() + 10s));
        server.silence_open_connections();
        CHECK(store.list({kind}, time.now() + 10s));
        CHECK(store.list({kind}, time.now() + 10s));
    }
}

TEST_CASE("the next watch uses the connection of the last one")
{
    const boot_clock time;
    const scripted_store server{
        [](const std::string&) -> std::string
        {
            return R"({"events": [], "AsOf": 9})";
        }};
    manual_clock store_time;
    object_store store{server.address(), store_time};
    const auto watch = [&]
    {
        return store.watch({kind}, revision{9}, store_time.now() + 10s)
            .has_value();
    };
    REQUIRE(watch());
    REQUIRE(watch());
    CHECK(server.connection_count() == 1);
    SECTION("unless that was idle for long")
    {
        store_time.advance(1s + 1ms);
        REQUIRE(watch());
        CHECK(server.connection_count() == 2);
    }
}

// Guards against an old view after the store came back from an older copy.
TEST_CASE("what a restored store says is later than what it said before")
{
    const boot_clock time;
    std::atomic<int> calls{0};
    scripted_store server{
        [&calls](const std::string& target) -> std::string
        {
            ++calls;
            return target.find("Watch=") != std::string::npos
                       ? R"({"events": [], "AsOf": 9})"
                       : list_text(object_text("one", "\"text\""));
        }};
    server.era = 3;
    object_store store{server.address(), time};
    const auto before = store.list({kind}, time.now() + 10s);
    REQUIRE(before);
    const stored_object& old = before.value().objects.front();
    CHECK(old.version == make_revision(store_era{3}, 7));
    server.era = 4;
    const auto after = store.list({kind}, time.now() + 10s);
    REQUIRE(after);
    CHECK(after.value().version > before.value().version);
    const int before_calls = calls;
    SECTION("a watch from before has lost its history")
    {
        const auto watched =
            store.watch({kind}, before.value().version, time.now() + 10s);
        CHECK(watched.error() == errc::compacted);
    }
    SECTION("a write over a version from before conflicts")
    {
        const auto written =
            store.update(old.key, "value", old.version, time.now() + 10s);
        CHECK(written.error() == errc::conflict);
        const auto removed =
            store.remove(old.key, old.version, time.now() + 10s);
        CHECK(removed.error() == errc::conflict);
    }
    CHECK(calls == before_calls);
}

TEST_CASE("a watch that a restored store answers has lost its history")
{
    const boot_clock time;
    scripted_store server{
        [](const std::string&) -> std::string
        {
            return R"({"events": [], "AsOf": 9})";
        }};
    server.era = 4;
    object_store store{server.address(), time};
    const auto watched =
        store.watch({kind}, make_revision(store_era{3}, 9), time.now() + 10s);
    CHECK(watched.error() == errc::compacted);
}

TEST_CASE("a replica of an earlier era is behind")
{
    const boot_clock time;
    scripted_store server{
        [](const std::string&) -> std::string
        {
            return fmt::format(
                R"({{"events": [{}], "AsOf": 99}})", event_text("one", sound));
        }};
    server.era = 3;
    object_store store{server.address(), time, read_consistency::may_lag};
    const revision view = make_revision(store_era{4}, 5);
    const auto watched = store.watch({kind}, view, time.now() + 10s);
    REQUIRE(watched);
    CHECK(watched.value().next < view);
    CHECK(watched.value().events.empty());
}

// Guards against failures of a copy that are taken for answers, and against a
// view whose history is gone and that is never read anew.
TEST_CASE("a watch that is refused fails whatever era the refusal names")
{
    const boot_clock time;
    scripted_store server{
        [](const std::string&) -> std::string
        {
            return "{}";
        }};
    const auto consistency =
        GENERATE(read_consistency::current, read_consistency::may_lag);
    object_store store{server.address(), time, consistency};
    const auto error_of = [&](unsigned status, std::uint64_t era)
    {
        server.status = status;
        server.era = era;
        return store
            .watch({kind}, make_revision(store_era{4}, 5), time.now() + 10s)
            .error();
    };
    const std::uint64_t era = GENERATE(0, 3, 4);
    CAPTURE(era);
    CHECK(error_of(503, era) == errc::unavailable);
    CHECK(error_of(429, era) == errc::over_budget);
    // A replica of an earlier era knows nothing of the history of this one.
    CHECK((era == 3 || error_of(410, era) == errc::compacted));
}

TEST_CASE("a watch ends once another call shows that the store was restored")
{
    const boot_clock time;
    std::atomic<bool> is_watched{false};
    std::atomic<bool> is_over{false};
    scripted_store server{
        [&](const std::string& target) -> std::string
        {
            if (target.find("Watch=") == std::string::npos)
            {
                return list_text("");
            }
            is_watched = true;
            while (!is_over)
            {
                std::this_thread::sleep_for(1ms);
            }
            return R"({"events": [], "AsOf": 9})";
        }};
    server.era = 3;
    object_store store{server.address(), time};
    const auto listed = store.list({kind}, time.now() + 10s);
    REQUIRE(listed);
    std::error_code ended;
    std::thread watcher{
        [&]
        {
            ended =
                store.watch({kind}, listed.value().version, time.now() + 60s)
                    .error();
        }};
    while (!is_watched)
    {
        std::this_thread::sleep_for(1ms);
    }
    server.era = 4;
    CHECK(store.list({kind}, time.now() + 10s));
    watcher.join();
    is_over = true;
    CHECK(ended == errc::unavailable);
}

TEST_CASE("a list whose pages are of two eras is not used")
{
    const boot_clock time;
    scripted_store* named = nullptr;
    scripted_store server{
        [&named](const std::string& target) -> std::string
        {
            const bool is_first = target.find("After=") == std::string::npos;
            named->era = is_first ? 4 : 5;
            return is_first
                       ? fmt::format(
                             R"({{"Items": [{}], "HasMore": true, "AsOf": 9}})",
                             object_text("one", "\"text\""))
                       : list_text("");
        }};
    named = &server;
    object_store store{server.address(), time};
    const auto listed = store.list({kind}, time.now() + 10s);
    CHECK(listed.error() == errc::unavailable);
}
