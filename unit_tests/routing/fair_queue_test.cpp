#include "routing/fair_queue.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

queue_entry make_entry(
    std::uint64_t ticket, const std::string& workspace, duration expected)
{
    queue_entry entry;
    entry.ticket = ticket_id{ticket};
    entry.workspace = workspace_id{workspace};
    entry.expected = expected;
    return entry;
}

} // namespace

TEST_CASE("within a workspace the shortest expected service is served first")
{
    fair_queue waiting{{}};
    waiting.push(make_entry(1, "a", 3s), time_point{});
    waiting.push(make_entry(2, "a", 1s), time_point{});
    waiting.push(make_entry(3, "a", 2s), time_point{});
    CHECK(waiting.pop()->ticket == ticket_id{2});
    CHECK(waiting.pop()->ticket == ticket_id{3});
    CHECK(waiting.pop()->ticket == ticket_id{1});
    CHECK_FALSE(waiting.pop().has_value());
}

TEST_CASE("ageing keeps longer work from starving behind shorter work")
{
    fair_queue waiting{{}};
    time_point now{};
    waiting.push(make_entry(0, "a", 5s), now);
    std::uint64_t ticket = 1;
    int pops = 0;
    while (true)
    {
        waiting.push(make_entry(ticket++, "a", 100ms), now);
        waiting.push(make_entry(ticket++, "a", 100ms), now);
        ++pops;
        now += 100ms;
        if (waiting.pop()->ticket == ticket_id{0})
        {
            break;
        }
        REQUIRE(pops < 1000);
    }
    CHECK(now <= time_point{} + 10s);
}

TEST_CASE("a lower class is served less but still gets its share")
{
    fair_queue waiting{{}};
    std::uint64_t ticket = 0;
    std::map<request_class, int> served;
    const std::vector classes{
        request_class::interactive,
        request_class::standard,
        request_class::batch};
    for (int round = 0; round < 1460; ++round)
    {
        for (const request_class priority : classes)
        {
            queue_entry entry = make_entry(ticket++, "a", 1s);
            entry.priority = priority;
            waiting.push(entry, time_point{});
        }
        ++served[waiting.pop()->priority];
    }
    CHECK(served[request_class::interactive] == Approx(1280).margin(3));
    CHECK(served[request_class::standard] == Approx(160).margin(3));
    CHECK(served[request_class::batch] == Approx(20).margin(3));
}

TEST_CASE("sizes and backlogs agree with a reference model")
{
    std::mt19937_64 random{7};
    fair_queue waiting{{}};
    std::map<std::uint64_t, queue_entry> model;
    for (std::uint64_t ticket = 0; ticket < 5000; ++ticket)
    {
        queue_entry entry = make_entry(
            ticket,
            fmt::format("w{}", random() % 5),
            std::chrono::milliseconds{random() % 1000});
        entry.priority = static_cast<request_class>(random() % 3);
        waiting.push(entry, time_point{std::chrono::milliseconds{ticket}});
        model.emplace(ticket, entry);
        if (random() % 3 == 0)
        {
            const auto popped = waiting.pop();
            REQUIRE(model.erase(popped->ticket.value()) == 1);
        }
        const std::uint64_t other = random() % (ticket + 1);
        const bool erased = waiting.erase(ticket_id{other}).has_value();
        REQUIRE(erased == (model.erase(other) == 1));
        REQUIRE(waiting.size() == model.size());
    }
    duration backlog{};
    std::size_t of_workspace = 0;
    for (const auto& [ticket, entry] : model)
    {
        if (entry.priority == request_class::batch)
        {
            backlog += entry.expected;
            of_workspace += entry.workspace == workspace_id{"w3"} ? 1 : 0;
        }
    }
    CHECK(waiting.backlog_of(request_class::batch) == backlog);
    CHECK(
        waiting.size_of(request_class::batch, workspace_id{"w3"}) ==
        of_workspace);
}
