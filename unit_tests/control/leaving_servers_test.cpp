#include "control/leaving_servers.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace fireflysail;

namespace
{

const server_id desk{"desk-1"};

} // namespace

TEST_CASE("a server leaves for as long as its boot lasts")
{
    leaving_servers leaving;
    CHECK(leaving.add(desk, 7));
    CHECK_FALSE(leaving.add(desk, 7));
    CHECK(leaving.contains(desk, 7));
    CHECK_FALSE(leaving.contains(desk, 8));
    CHECK_FALSE(leaving.contains(server_id{"desk-2"}, 7));
    CHECK_FALSE(leaving.on_boot(desk, 7));
    CHECK(leaving.contains(desk, 7));
    SECTION("and another boot of it starts clean")
    {
        CHECK(leaving.on_boot(desk, 8));
        CHECK(leaving.size() == 0);
    }
}

TEST_CASE("servers that leave are held in bounded space")
{
    leaving_servers leaving;
    for (std::size_t i = 0; i < 2 * leaving_servers::max_servers; ++i)
    {
        leaving.add(server_id{"desk-" + std::to_string(i)}, i);
    }
    CHECK(leaving.size() == leaving_servers::max_servers);
    CHECK_FALSE(leaving.contains(server_id{"desk-0"}, 0));
}
