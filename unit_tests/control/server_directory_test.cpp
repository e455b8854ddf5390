#include "control/server_directory.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};

server_entry make(const std::string& id)
{
    server_entry entry;
    entry.id = server_id{id};
    return entry;
}

std::vector<server_id> ids(const server_directory& directory)
{
    std::vector<server_id> found;
    for (const server_entry& entry : directory.entries())
    {
        found.push_back(entry.id);
    }
    return found;
}

} // namespace

TEST_CASE("an entry removed without an outage is dropped at once")
{
    server_directory directory;
    directory.on_store_response(start);
    directory.replace_all({make("a"), make("b")}, start);
    directory.on_store_response(start + 1s);
    directory.remove(server_id{"a"}, start + 1s);
    CHECK(ids(directory) == std::vector{server_id{"b"}});
}

TEST_CASE(
    "entries that expired in an outage are kept until servers can renew them")
{
    server_directory directory;
    directory.on_store_response(start);
    directory.replace_all({make("a"), make("b")}, start);
    const time_point back = start + 8s;
    directory.on_store_response(back);
    directory.replace_all({}, back);
    CHECK(ids(directory).size() == 2);
    directory.put(make("b"));
    CHECK(directory.next_expiry() == back + 1900ms);
    CHECK_FALSE(directory.expire(back + 1800ms));
    CHECK(directory.expire(back + 1900ms));
    CHECK(ids(directory) == std::vector{server_id{"b"}});
    CHECK_FALSE(directory.next_expiry());
}

TEST_CASE("an entry removed long after an outage is dropped at once")
{
    server_directory directory;
    directory.on_store_response(start);
    directory.replace_all({make("a")}, start);
    directory.on_store_response(start + 8s);
    directory.on_store_response(start + 10s);
    directory.remove(server_id{"a"}, start + 10s);
    CHECK(directory.entries().empty());
}

TEST_CASE("a removal that a restored store lost is not undone")
{
    server_directory directory;
    directory.on_store_response(start);
    server_entry gone = make("gone");
    gone.started_at_ms = 7;
    directory.replace_all({gone, make("b")}, start);
    directory.remove(gone.id, start + 1s);
    const time_point back = start + 4s;
    const std::vector used{server_id{"b"}};
    const std::vector both{server_id{"b"}, gone.id};
    SECTION("by the copy")
    {
        directory.on_store_restored(back);
        directory.replace_all({gone, make("b")}, back);
        CHECK(ids(directory) == used);
        directory.replace_all({gone, make("b")}, back + 1s);
        CHECK(ids(directory) == used);
        SECTION("until the entry is written again")
        {
            directory.put(gone);
            CHECK(ids(directory) == both);
        }
        SECTION("until a list shows that it was")
        {
            gone.started_at_ms = 8;
            directory.replace_all({gone, make("b")}, back + 2s);
            CHECK(ids(directory) == both);
        }
        SECTION("until it had time to be removed again")
        {
            CHECK(directory.next_expiry() == back + 30s);
            CHECK_FALSE(directory.expire(back + 29s));
            CHECK(directory.expire(back + 30s));
            CHECK(ids(directory) == both);
        }
        SECTION("and may be made again")
        {
            directory.remove(gone.id, back + 5s);
            CHECK_FALSE(directory.expire(back + 31s));
            CHECK(ids(directory) == used);
        }
    }
    SECTION("but another boot is used")
    {
        gone.started_at_ms = 8;
        directory.on_store_restored(back);
        directory.replace_all({gone, make("b")}, back);
        CHECK(ids(directory) == both);
    }
    SECTION("but a list of the same era is believed")
    {
        directory.replace_all({gone, make("b")}, back);
        CHECK(ids(directory) == both);
    }
    SECTION("but a copy that is older than any is believed")
    {
        const time_point late = start + 62s;
        directory.expire(late);
        directory.on_store_restored(late);
        directory.replace_all({gone, make("b")}, late);
        CHECK(ids(directory) == both);
    }
}

TEST_CASE("an earlier boot does not come back with a restored store")
{
    server_directory directory;
    server_entry before = make("a");
    before.started_at_ms = 7;
    server_entry after = make("a");
    after.started_at_ms = 8;
    directory.replace_all({after}, start);
    const time_point back = start + 4s;
    directory.on_store_restored(back);
    directory.replace_all({before}, back);
    CHECK(directory.entries() == std::vector{after});
    SECTION("until it is written again")
    {
        directory.put(before);
        CHECK(directory.entries() == std::vector{before});
    }
    SECTION("until a later list still shows it")
    {
        directory.replace_all({before}, back + 1s);
        CHECK(directory.entries() == std::vector{before});
    }
}

TEST_CASE("the state reported by an engine replaces the listed state")
{
    server_directory directory;
    directory.replace_all({make("a")}, start);
    const std::vector<held_layers> layers{
        {{layer_index{0}, layer_index{5}}, model_version{"1"}}};
    CHECK(directory.update_engine_state(server_id{"a"}, layers, 7));
    CHECK_FALSE(directory.update_engine_state(server_id{"a"}, layers, 7));
    CHECK_FALSE(directory.update_engine_state(server_id{"unknown"}, layers, 7));
    CHECK(directory.entries().front().layers == layers);
}
