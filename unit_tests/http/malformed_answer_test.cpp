#include "common/error.hpp"
#include "http/http_channel.hpp"
#include "http/two_answer_server.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

void check_refused(const std::string& bytes, bool resets)
{
    CAPTURE(bytes, resets);
    const two_answer_server server{bytes, resets};
    http_channel channel{server.address()};
    const auto refused = channel.call({"POST", "/orders", "{}"}, 10s);
    // It may have taken effect.
    CHECK((!refused && refused.error() == errc::unknown_effect));
    const auto sound = channel.call({"GET", "/list", {}}, 10s);
    REQUIRE(sound);
    CHECK(sound.value().status == 200);
    CHECK(sound.value().body == "sound");
}

} // namespace

TEST_CASE("an answer to a call whose status is below 100 is refused")
{
    const std::string status = GENERATE("000", "042", "099");
    const std::string rest = GENERATE(
        "Content-Length: 0\r\n\r\n",
        "Content-Length: 2\r\n\r\n{}",
        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "\r\n{}");
    const std::string before = GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n");
    check_refused(before + "HTTP/1.1 " + status + " X\r\n" + rest, false);
}

TEST_CASE("an answer to a call with a malformed field name is refused")
{
    using namespace std::string_literals;
    const std::string line = GENERATE(
        " X-Odd: 1"s,
        "\tContent-Length: 1"s,
        "X-Odd : 1"s,
        "X Odd:"s,
        "X\0Odd: 1"s,
        "X\nOdd: 1"s,
        "Content-Length : 1"s);
    const bool is_first = GENERATE(true, false);
    const std::string head =
        is_first
            ? "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n"
            : "HTTP/1.1 200 OK\r\nX-Other: 1\r\n" + line + "\r\n\r\n";
    check_refused(head + "{}", false);
}

TEST_CASE("an answer to a call that is reset is refused")
{
    const std::string bytes = GENERATE(
        "",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n");
    check_refused(bytes, true);
}

TEST_CASE("an answer to a call follows interim ones")
{
    const std::string interim = GENERATE(
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
    const std::string rest = GENERATE(
        "Content-Length: 2\r\n\r\n{}",
        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "\r\n{}");
    const two_answer_server server{
        interim + "HTTP/1.1 201 OK\r\n" + rest, false};
    http_channel channel{server.address()};
    const auto answer = channel.call({"POST", "/orders", "{}"}, 10s);
    REQUIRE(answer);
    CHECK(answer.value().status == 201);
    CHECK(answer.value().body == "{}");
}
