#include "common/error.hpp"
#include "peer/gossip_codec.hpp"
#include "peer/limits_codec.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

gossip_request full_request()
{
    peer one;
    one.id = instance_id{"b"};
    one.address = {"10.0.0.2", 7000};
    one.zone = zone_id{"z"};
    one.region = region_id{"r"};
    one.life = incarnation{18446744073709551615U};
    one.state = peer_state::dead;
    gossip_request request;
    request.kind = gossip_kind::sync;
    request.sender = instance_id{"a"};
    request.sender_incarnation = incarnation{3};
    request.receiver = instance_id{"b"};
    request.subject = instance_id{"c"};
    request.subject_incarnation = incarnation{4};
    request.digest = 18446744073709551615U;
    request.updates = {one, one};
    request.entries = {{"mark/x", 7, "quoted \" text", 1500ms}};
    request.digests.fill(5);
    return request;
}

demand_message full_demand()
{
    workspace_demand demand;
    demand.workspace = workspace_id{"acme"};
    demand.held = {1.5, 2000};
    demand.held_burst = {1, 400};
    demand.wanted = {80, 100000};
    demand.held_slots = 4;
    demand.wanted_slots = 9;
    demand.running = 3;
    demand.waiting_requests = 6;
    demand.largest_cost = 512;
    demand.returned_permits = 2;
    return {instance_id{"a"}, 12, 11, {demand, demand}};
}

lease_message full_leases()
{
    workspace_lease lease;
    lease.workspace = workspace_id{"acme"};
    lease.status = lease_status::waiting;
    lease.rates = {1.5, 2000};
    lease.burst = {1, 400};
    lease.tail = {0.25, 10};
    lease.slots = 4;
    lease.permits = {3, 512, 250ms, 10ms};
    lease.retry_after = 300ms;
    return {instance_id{"b"}, 12, {lease}};
}

claim_reply full_claim_reply()
{
    return {
        4,
        {{workspace_id{"acme"},
          {{instance_id{"a"}, {1.5, 2}, {1, 1}, 7, 2500ms}}}},
        {workspace_id{"other"}}};
}

/// Every text that differs from a valid one in a few bytes is either refused
/// or read as some other valid message, never a crash.
template <class Decoder>
void check_damaged(const std::string& valid, Decoder&& decode)
{
    std::mt19937_64 random{1};
    std::uniform_int_distribution<std::size_t> place{0, valid.size() - 1};
    std::uniform_int_distribution<int> byte{0, 127};
    for (int run = 0; run < 3000; ++run)
    {
        std::string damaged = valid;
        for (int i = 0; i <= run % 3; ++i)
        {
            damaged[place(random)] = static_cast<char>(byte(random));
        }
        const auto read = decode(damaged);
        if (read.has_error())
        {
            CHECK(read.error() == errc::malformed);
        }
        CHECK(decode(valid.substr(0, place(random))).has_error());
    }
}

} // namespace

TEST_CASE("gossip messages read back as they were written")
{
    const std::string request = encode(full_request());
    const auto read = decode_gossip_request(request);
    REQUIRE(read.has_value());
    CHECK(encode(read.value()) == request);
    CHECK(read.value().entries == full_request().entries);
    CHECK(read.value().updates[0].life == full_request().updates[0].life);

    gossip_reply reply;
    reply.sender = instance_id{"b"};
    reply.is_stranger = true;
    reply.updates = full_request().updates;
    const auto read_reply = decode_gossip_reply(encode(reply));
    REQUIRE(read_reply.has_value());
    CHECK(encode(read_reply.value()) == encode(reply));
}

TEST_CASE("messages of limits read back as they were written")
{
    const auto demand = decode_limits_request(encode(full_demand()));
    REQUIRE(demand.has_value());
    CHECK(std::get<demand_message>(demand.value()) == full_demand());

    const claim_message claim{instance_id{"a"}, 3, {workspace_id{"acme"}}};
    const auto read_claim = decode_limits_request(encode(claim));
    REQUIRE(read_claim.has_value());
    CHECK(std::get<claim_message>(read_claim.value()) == claim);

    CHECK(decode_lease_message(encode(full_leases())).value() == full_leases());
    CHECK(
        decode_claim_reply(encode(full_claim_reply())).value() ==
        full_claim_reply());
}

TEST_CASE("a rate is never read as more than was granted")
{
    lease_message leases = full_leases();
    leases.leases[0].rates = {1.0 / 3, 0.99999};
    const auto read = decode_lease_message(encode(leases));
    CHECK(read.value().leases[0].rates.requests <= 1.0 / 3);
    CHECK(read.value().leases[0].rates.tokens <= 0.99999);
}

TEST_CASE("damaged messages are errors")
{
    check_damaged(encode(full_request()), &decode_gossip_request);
    check_damaged(encode(full_demand()), &decode_limits_request);
    check_damaged(encode(full_leases()), &decode_lease_message);
    check_damaged(encode(full_claim_reply()), &decode_claim_reply);
    for (const std::string text :
         {"",
          "[]",
          "{}",
          "null",
          R"({"k":9,"s":["a",1],"d":1})",
          R"({"k":0,"s":["a",-1],"d":1})",
          R"({"f":"a","q":1,"l":0,"w":[[]]})"})
    {
        CHECK(decode_gossip_request(text).has_error());
        CHECK(decode_limits_request(text).has_error());
    }
}
