#include "platform/header_codec.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;
using namespace fireflysail::platform;
using namespace std::chrono_literals;

namespace
{

const header_codec codec;

std::string text_of(const http_fields& header, const char* name)
{
    const auto value = header[name];
    return {value.data(), value.size()};
}

} // namespace

TEST_CASE("a request's header is read into facts")
{
    http_fields header;
    header.set("X-Fireflysail-Attempt-Id", "9c41");
    header.set("X-Fireflysail-Deadline-Ms", "1500");
    header.set("X-Fireflysail-Token-Counts", "1460,80");
    header.set("X-Fireflysail-Prompt-Prefix", "5c1e:800,91bd:410,e440:250");
    header.set("X-Fireflysail-Length-Hint", "60");
    header.set("Last-Event-Id", "12");
    header.set("Authorization", "Bearer secret");
    const auto facts = codec.read_request(header);
    CHECK(facts.attempt == attempt_id{"9c41"});
    CHECK(facts.time_limit == duration{1500ms});
    CHECK(facts.prompt_tokens == 1460);
    CHECK(facts.most_output_tokens == 80);
    CHECK(facts.expected_output_tokens == 60U);
    CHECK(facts.shared_prefix != 0);
    CHECK(facts.shared_prefix_tokens == 1210);
    CHECK(facts.shared_parts.size() == 2);
    CHECK(facts.last_event == 12U);
    CHECK(facts.key == "secret");
}

// RFC 9110, 11.4: one or more spaces follow the scheme, in any case. A key
// behind several was unknown.
TEST_CASE("a key is read behind any number of blanks")
{
    const std::string written = GENERATE(
        as<std::string>{},
        "Bearer secret",
        "bearer secret",
        "BEARER secret",
        "Bearer  secret",
        "Bearer \t secret ",
        "Bearer\tsecret");
    http_fields header;
    header.set("Authorization", written);
    CAPTURE(written);
    CHECK(codec.read_request(header).key == "secret");
}

TEST_CASE("what is no bearer token is no key")
{
    const std::string written = GENERATE(
        as<std::string>{},
        "Bearersecret",
        "Basic secret",
        "secret",
        "Bearer",
        "Bearer ",
        "");
    http_fields header;
    header.set("Authorization", written);
    CAPTURE(written);
    CHECK(codec.read_request(header).key.empty());
}

TEST_CASE("a part of a prompt is the same wherever it stands")
{
    http_fields first;
    first.set("X-Fireflysail-Prompt-Prefix", "5c1e:800,91bd:410,e440:250");
    http_fields second;
    second.set("X-Fireflysail-Prompt-Prefix", "77aa:40, 91BD:410,e441:9");
    const auto one = codec.read_request(first).shared_parts;
    const auto two = codec.read_request(second).shared_parts;
    REQUIRE(one.size() == 2);
    REQUIRE(two.size() == 2);
    CHECK(one[0] != two[0]);
    CHECK(one[1] == two[1]);
}

TEST_CASE("a prompt of endless parts is read as a bounded number")
{
    std::string parts;
    for (int part = 0; part < 500; ++part)
    {
        parts += std::to_string(part) + ":1,";
    }
    http_fields header;
    header.set("X-Fireflysail-Prompt-Prefix", parts + "last:1");
    const auto facts = codec.read_request(header);
    CHECK(facts.shared_parts.size() == max_shared_parts);
    CHECK(facts.shared_prefix_tokens == 500);
}

TEST_CASE("missing and broken fields of a request are absent facts")
{
    http_fields header;
    header.set("X-Fireflysail-Deadline-Ms", "soon");
    header.set("X-Fireflysail-Token-Counts", "x");
    header.set("Authorization", "Basic secret");
    const auto facts = codec.read_request(header);
    CHECK_FALSE(facts.time_limit);
    CHECK(facts.prompt_tokens == 0);
    CHECK_FALSE(facts.last_event);
    CHECK(facts.key.empty());
}

TEST_CASE("a caller's time limit is bounded")
{
    http_fields header;
    header.set("X-Fireflysail-Deadline-Ms", "9223372036854775807");
    CHECK(codec.read_request(header).time_limit == duration{24h * 366});
    header.set("X-Fireflysail-Deadline-Ms", "-9223372036854775808");
    CHECK(codec.read_request(header).time_limit == duration{0s});
    header.set("X-Fireflysail-Deadline-Ms", "9223372036854775808");
    CHECK_FALSE(codec.read_request(header).time_limit);
}

TEST_CASE("a dispatch replaces what the caller set in our fields")
{
    http_fields header;
    header.set("Authorization", "Bearer secret");
    header.set("X-Fireflysail-Tenant", "forged");
    header.set("X-Fireflysail-Hop-Count", "forged");
    header.set("X-Fireflysail-Request-Priority", "0");
    header.set("X-Fireflysail-Model", "kept");
    dispatch_facts facts;
    facts.time_left = 1400ms;
    facts.server = server_id{"i-7"};
    facts.workspace = workspace_id{"w1"};
    facts.stages = {
        {server_id{"i-7"}, {"10.0.0.1", 80}, {layer_index{0}, layer_index{20}}},
        {server_id{"i-8"},
         {"10.0.0.2", 80},
         {layer_index{20}, layer_index{80}}}};
    facts.last_event = 12;
    codec.write_dispatch(header, facts);
    CHECK(header.count("Authorization") == 0);
    CHECK(text_of(header, "X-Fireflysail-Tenant") == "w1");
    CHECK(
        text_of(header, "X-Fireflysail-Hop-Count") ==
        "10.0.0.1:80=0-20,10.0.0.2:80=20-80");
    CHECK(header.count("X-Fireflysail-Request-Priority") == 0);
    CHECK(text_of(header, "X-Fireflysail-Expect-Instance") == "i-7");
    CHECK(text_of(header, "X-Fireflysail-Deadline-Ms") == "1400");
    CHECK(text_of(header, "Last-Event-Id") == "12");
    CHECK(text_of(header, "X-Fireflysail-Model") == "kept");
}

TEST_CASE("a plain dispatch names no pipeline and no workspace")
{
    http_fields header;
    header.set("X-Fireflysail-Tenant", "forged");
    codec.write_dispatch(header, {1s, server_id{"i-7"}, {}, {}, {}, {}});
    CHECK(header.count("X-Fireflysail-Hop-Count") == 0);
    CHECK(header.count("X-Fireflysail-Tenant") == 0);
    CHECK(header.count("Last-Event-Id") == 0);
}

TEST_CASE("an answer says whether the request ran and who failed it")
{
    http_fields header;
    header.set("X-Fireflysail-Attempt-Id", "9c41");
    header.set("X-Fireflysail-Not-Executed", "1");
    header.set("At-Server", "10.0.0.2:80");
    header.set("X-Fireflysail-Server-Load", "3,1,8");
    header.set("Keep-Alive", "max=5, timeout=7");
    const auto refused = codec.read_answer(503, header);
    CHECK(refused.not_run);
    CHECK_FALSE(refused.other_server);
    CHECK_FALSE(refused.stamped);
    CHECK(refused.failed_server == endpoint{"10.0.0.2", 80});
    REQUIRE(refused.load);
    CHECK(refused.load->waiting == 1);
    CHECK(refused.keep_alive == duration{7s});
    const auto misdirected = codec.read_answer(421, {});
    CHECK(misdirected.not_run);
    CHECK(misdirected.other_server);
    CHECK_FALSE(codec.read_answer(503, {}).not_run);
}

TEST_CASE("advice to come back is given in seconds with fractions")
{
    http_fields header;
    codec.write_own_answer(header, attempt_id{"9c41"}, duration{1500ms});
    CHECK(text_of(header, "Retry-After") == "1.50");
    CHECK(text_of(header, "X-Fireflysail-Attempt-Id") == "9c41");
    http_fields plain;
    codec.write_own_answer(plain, {}, std::nullopt);
    CHECK(plain.begin() == plain.end());
}

TEST_CASE("a server's limit of requests is read, and nothing else is")
{
    const auto limit_of = [](const char* text)
    {
        http_fields header;
        header.set("Server-Limit", text);
        return codec.read_answer(200, header).rate_limit;
    };
    CHECK(limit_of("10.2") == 10.2);
    CHECK(limit_of("0") == 0.0);
    CHECK_FALSE(limit_of("-1"));
    CHECK_FALSE(limit_of("soon"));
    CHECK_FALSE(limit_of("inf"));
    CHECK_FALSE(limit_of("nan"));
    CHECK_FALSE(codec.read_answer(200, {}).rate_limit);
}

TEST_CASE("a server says that it leaves in any answer")
{
    http_fields header;
    CHECK_FALSE(codec.read_answer(200, header).leaving);
    header.set("Server-Leaving", "1");
    CHECK(codec.read_answer(200, header).leaving);
    CHECK(codec.read_answer(503, header).leaving);
    header.set("Server-Leaving", "0");
    CHECK_FALSE(codec.read_answer(200, header).leaving);
}

TEST_CASE("a refusal names a time for which no request is wanted")
{
    http_fields header;
    CHECK_FALSE(codec.read_answer(503, header).backoff);
    header.set("Retry-After", "1.25");
    CHECK(codec.read_answer(503, header).backoff == duration{1250ms});
    CHECK_FALSE(codec.read_answer(429, header).backoff);
    CHECK_FALSE(codec.read_answer(200, header).backoff);
    header.set("Retry-After", "0");
    CHECK(codec.read_answer(503, header).backoff == duration{0ms});
    SECTION("which is bounded")
    {
        header.set("Retry-After", GENERATE("1e300", "inf", "99999999999999"));
        CHECK(codec.read_answer(503, header).backoff == duration{24h * 366});
    }
    SECTION("or cannot be used")
    {
        header.set(
            "Retry-After",
            GENERATE("-1", "nan", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"));
        const auto facts = codec.read_answer(503, header);
        CHECK_FALSE(facts.backoff);
        CHECK(facts.has_bad_backoff);
    }
}
