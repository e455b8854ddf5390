#include "control/lists_codec.hpp"

#include "control/objects.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fireflysail;

TEST_CASE("a list object is unchanged by encoding and decoding")
{
    edit_record first{
        edit_id{"e1"},
        "mona \"m\"",
        office_id{"cairo"},
        wall_time{std::chrono::milliseconds{1'700'000'000'123}},
        revision{0},
        revision{4},
        false};
    auto last = first;
    last.id = edit_id{"e2"};
    last.based_on = revision{4};

    entitlement_entry entry;
    entry.plan = plan_id{"gold"};
    entry.models = {model_id{"dress-advisor"}};
    entry.requests_per_second = 12.5;
    entry.concurrency = 3;
    entry.highest_class = request_class::interactive;
    const auto read = decode_entitlement(
        "gold", encode(entitlement_object{entry, last, {first}}), revision{9});
    REQUIRE(read);
    REQUIRE(read.value().entry);
    CHECK(read.value().entry->models == entry.models);
    CHECK(read.value().entry->requests_per_second == 12.5);
    CHECK(read.value().entry->highest_class == request_class::interactive);
    CHECK(read.value().entry->version == revision{9});
    last.version = revision{9};
    CHECK(read.value().last_edit == last);
    CHECK(read.value().earlier_edits == std::vector{first});

    const auto gone = decode_plan(
        "acme", encode(plan_object{std::nullopt, last, {}}), revision{5});
    REQUIRE(gone);
    CHECK_FALSE(gone.value().entry);
}

TEST_CASE("every mistake in an operator's document is reported")
{
    std::vector<mistake> mistakes;
    parse_entitlement(
        "gold",
        R"({"requests_per_second":-1,"tokens_per_second":"x",)"
        R"("weight":0,"highest_class":"urgent","concurency":4})",
        mistakes);
    const auto names = [&](const char* path)
    {
        return std::ranges::count(mistakes, path, &mistake::path) == 1;
    };
    CHECK(names("requests_per_second"));
    CHECK(names("tokens_per_second"));
    CHECK(names("concurrency"));
    CHECK(names("weight"));
    CHECK(names("highest_class"));
    CHECK(names("concurency"));
    CHECK(mistakes.size() == 6);
}

TEST_CASE("fields with a safe default may be omitted from a document")
{
    std::vector<mistake> mistakes;
    const auto entry = parse_entitlement(
        "gold",
        R"({"requests_per_second":1,"tokens_per_second":2,"concurrency":4})",
        mistakes);
    CHECK(mistakes.empty());
    CHECK(entry.weight == 1);
    CHECK(entry.highest_class == request_class::standard);
}
