#include "store/store_codec.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;

TEST_CASE("names are escaped byte by byte")
{
    CHECK(percent_encode("a-b_c.d~9") == "a-b_c.d~9");
    CHECK(percent_encode("a/b c%+\xc3\xa9") == "a%2Fb%20c%25%2B%C3%A9");
}

TEST_CASE("answers that break the protocol are malformed")
{
    const auto malformed = [](const auto& got)
    {
        return !got && got.error() == errc::malformed;
    };
    CHECK(malformed(parse_object("")));
    CHECK(malformed(parse_object("[]")));
    CHECK(malformed(
        parse_object(R"({"kind":"a","name":"b","value":1,"revision":1})")));
    CHECK(malformed(parse_snapshot(R"({"revision":-1,"objects":[]})")));
    CHECK(malformed(parse_snapshot(
        R"({"revision":1,"objects":
            [{"kind":"a","name":"b","value":"","revision":2}]})")));
    CHECK(malformed(parse_watch_batch(R"({"next":3,"events":[{}]})")));
    CHECK(malformed(parse_watch_batch(
        R"({"next":3,"events":[
            {"change":"written","kind":"a","name":"b","value":"","revision":3},
            {"change":"written","kind":"a","name":"b","value":"","revision":2}
            ]})")));
    CHECK(malformed(parse_written(R"({"revision":"1"})")));
    CHECK(parse_written(R"({"revision":7})").value() == revision{7});
}
