#include "membership/member_table.hpp"
#include "membership/neighbours.hpp"
#include "membership/shared_entries.hpp"
#include "membership/update_queue.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

peer make_peer(int index, int zones = 3)
{
    peer one;
    one.id = instance_id{fmt::format("instance-{}", index)};
    one.address = {fmt::format("10.0.0.{}", index), 7000};
    one.zone = zone_id{fmt::format("zone-{}", index % zones)};
    one.life = incarnation{1};
    return one;
}

std::vector<instance_id>
neighbours_in(const std::vector<peer>& fleet, std::size_t index)
{
    std::vector<peer> others = fleet;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    return neighbours_of(fleet[index], others);
}

} // namespace

TEST_CASE("neighbours are mutual, few, and connect all zones")
{
    const int count = GENERATE(2, 3, 9, 50, 390);
    CAPTURE(count);
    std::vector<peer> fleet;
    for (int i = 0; i < count; ++i)
    {
        fleet.push_back(make_peer(i, 6));
    }
    std::set<std::size_t> reached{0};
    std::queue<std::size_t> open;
    open.push(0);
    std::size_t in_zone = 0;
    std::size_t links = 0;
    while (!open.empty())
    {
        const std::size_t here = open.front();
        open.pop();
        const auto near = neighbours_in(fleet, here);
        CHECK(near.size() <= 4);
        for (const instance_id& id : near)
        {
            const auto there = static_cast<std::size_t>(
                std::ranges::find(fleet, id, &peer::id) - fleet.begin());
            const auto back = neighbours_in(fleet, there);
            CHECK(std::ranges::find(back, fleet[here].id) != back.end());
            in_zone += fleet[here].zone == fleet[there].zone ? 1 : 0;
            ++links;
            if (reached.insert(there).second)
            {
                open.push(there);
            }
        }
    }
    CHECK(reached.size() == fleet.size());
    if (count >= 50)
    {
        CHECK(in_zone * 2 >= links);
    }
}

TEST_CASE("only a higher incarnation or a later state is newer")
{
    peer known = make_peer(1);
    known.state = peer_state::suspect;
    peer next = known;
    CHECK_FALSE(is_newer(next, known));
    next.state = peer_state::alive;
    CHECK_FALSE(is_newer(next, known));
    next.state = peer_state::dead;
    CHECK(is_newer(next, known));
    next.state = peer_state::alive;
    next.life = known.life.next();
    CHECK(is_newer(next, known));
    CHECK_FALSE(is_newer(known, next));
}

TEST_CASE("records in any order leave the same table")
{
    std::vector<peer> records;
    for (const auto state :
         {peer_state::alive, peer_state::suspect, peer_state::dead})
    {
        for (std::uint64_t life = 1; life <= 3; ++life)
        {
            peer record = make_peer(1);
            record.state = state;
            record.life = incarnation{life};
            records.push_back(record);
        }
    }
    std::mt19937_64 random{1};
    for (int run = 0; run < 50; ++run)
    {
        std::ranges::shuffle(records, random);
        member_table table;
        for (const peer& record : records)
        {
            table.merge(record, time_point{});
        }
        const member* last = table.find(records[0].id);
        CHECK(last->record.life == incarnation{3});
        CHECK(last->record.state == peer_state::dead);
    }
}

TEST_CASE("shared entries keep the newest version within their bounds")
{
    shared_entries entries;
    const time_point now{};
    CHECK(entries.merge({"a", 2, "new", 10s}, now));
    CHECK_FALSE(entries.merge({"a", 1, "old", 60s}, now));
    CHECK_FALSE(entries.merge({"a", 2, "same", 60s}, now));
    CHECK(entries.get("a", now + 4s).value == "new");
    CHECK(entries.get("a", now + 4s).remaining == 6s);
    CHECK_FALSE(entries.merge({"b", 1, "over", 0s}, now));
    CHECK_FALSE(entries.merge({"b", 1, std::string(600, 'x'), 9s}, now));
    CHECK(entries.expire(now + 10s));
    CHECK(entries.all(now + 10s).empty());
    for (std::uint64_t i = 0; i < 300; ++i)
    {
        entries.merge({fmt::format("key-{}", i), 1, "v", 10s + i * 1s}, now);
    }
    CHECK(entries.all(now).size() == shared_entries::max_entries);
    CHECK(entries.get("key-0", now).key.empty());
    CHECK(entries.get("key-299", now).version == 1);
}

TEST_CASE("updates are sent a bounded number of times, the least sent first")
{
    update_queue queue;
    queue.add("a");
    queue.count_sent("a", 390);
    queue.add("b");
    CHECK(queue.least_sent(1) == std::vector<std::string>{"b"});
    for (int i = 0; i < 20; ++i)
    {
        queue.count_sent("a", 390);
        queue.count_sent("b", 390);
    }
    CHECK(queue.empty());
}
