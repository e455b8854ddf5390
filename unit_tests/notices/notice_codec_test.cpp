#include "notices/notice_codec.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;

TEST_CASE("a notice is read as it was written")
{
    const auto news = GENERATE(
        engine_observation::failed,
        engine_observation::unanswered,
        engine_observation::answered);
    const notice told{instance_id{"entry-1"}, server_id{"engine-7"}, news};
    CHECK(decode_notice(encode(told)) == told);
}

TEST_CASE("what is no notice is left out")
{
    CHECK_FALSE(decode_notice(""));
    CHECK_FALSE(decode_notice("{"));
    CHECK_FALSE(decode_notice("[]"));
    CHECK_FALSE(decode_notice("{}"));
    CHECK_FALSE(decode_notice(R"({"from":"a","server":"b","news":"odd"})"));
    CHECK_FALSE(decode_notice(R"({"from":"a","server":7,"news":"failed"})"));
    CHECK_FALSE(decode_notice(R"({"from":"a","news":"failed"})"));
}
