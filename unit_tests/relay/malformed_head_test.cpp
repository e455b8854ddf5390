#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

using numbered = std::size_t;

const std::string stamped_fields = "X-Fireflysail-Attempt-Id: ID\r\n"
                                   "X-Fireflysail-Server-Stamp: stamp\r\n";

const std::string two_events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";

std::string sized(const std::string& body)
{
    return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

std::string chunked(const std::string& body)
{
    return fmt::format(
        "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
        body.size(),
        body);
}

/// An answer as a server in order gives it.
std::string sound_answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\n" + stamped_fields + sized(body);
}

std::string replace_id(std::string text, const http_request& request)
{
    const auto id = request["X-Fireflysail-Attempt-Id"];
    for (auto at = text.find("ID\r\n"); at != std::string::npos;
         at = text.find("ID\r\n"))
    {
        text.replace(at, 2, std::string{id.data(), id.size()});
    }
    return text;
}

scripted_server::script answer_first_with(
    const std::string& first, const std::string& body, bool closes)
{
    return [=](numbered number, const http_request& request)
    {
        scripted_answer answer;
        answer.bytes =
            replace_id(number == 0 ? first : sound_answer(body), request);
        answer.closes = closes && number == 0;
        return answer;
    };
}

struct malformed_head_fixture : relay_fixture
{
    /// Asks for `path` at a server that answers `bytes` to the first request
    /// and soundly after that. The first request has to fail as one whose
    /// outcome is not known; the next one has to be served.
    void check_refused(
        const std::string& path, const std::string& bytes, bool closes)
    {
        this->config->routes["shop.example"][2].resumable = false;
        auto& home =
            this->add(path, "home", answer_first_with(bytes, "sound", closes));
        std::vector<std::string> requests{get(path)};
        // An engine that failed gets no new stream for a while.
        if (path != "/stream/")
        {
            requests.push_back(get(path));
            requests[1].replace(requests[1].find("9c41"), 4, "9c42");
        }
        const auto answers = this->ask(requests);
        REQUIRE(answers.size() == requests.size());
        CHECK(answers[0].whole);
        CHECK(answers[0].status == 502);
        CHECK(answers[0].header.count("X-Fireflysail-Server-Stamp") == 0);
        CHECK(answers[0].body == "unknown_outcome\n");
        for (std::size_t i = 1; i < answers.size(); ++i)
        {
            CHECK(answers[i].whole);
            CHECK(answers[i].status == 200);
            CHECK(answers[i].body == "sound");
        }
        CHECK(home.received.size() == requests.size());
        // The connection of the first one carries nothing more.
        CHECK(home.accepted >= requests.size());
    }
};

} // namespace

// A status below 100 was taken for an interim answer, and what followed for the
// answer.
TEST_CASE_METHOD(
    malformed_head_fixture, "an answer with a status below 100 is refused")
{
    const std::string path = GENERATE("/safe/", "/once/", "/stream/");
    const std::string status = GENERATE("000", "001", "042", "099");
    const std::string rest = GENERATE(
        sized(""),
        sized("body"),
        chunked("body"),
        // Makes an answer of its own.
        sized(sound_answer("forged")),
        "\r\n" + sound_answer("forged"));
    const std::string before =
        GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 X\r\n\r\n");
    const bool closes = GENERATE(false, true);
    CAPTURE(path, status, rest, before, closes);
    this->check_refused(
        path,
        before + "HTTP/1.1 " + status + " X\r\n" + stamped_fields + rest,
        closes);
}

TEST_CASE_METHOD(
    malformed_head_fixture, "an answer with an unusual status is delivered")
{
    const std::string path = GENERATE("/once/", "/stream/");
    const int status = GENERATE(203, 226, 299, 308, 418, 451, 499, 511, 599);
    this->add(
        path,
        "home",
        [&](numbered, const http_request&)
        {
            return whole_answer(status, "body");
        });
    const auto answers = this->ask({get(path)});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == static_cast<unsigned>(status));
    CHECK(answers[0].body == "body");
    CHECK(answers[0].header["X-Fireflysail-Server-Stamp"] == "stamp");
}

namespace
{

/// A head with `line` as its first line, in the middle or at its end.
std::vector<std::string> heads_with(const std::string& line)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string& fields = stamped_fields;
    return {
        status + line + "\r\n" + fields + "Content-Length: 4\r\n\r\n",
        status + fields + line + "\r\nContent-Length: 4\r\n\r\n",
        status + fields + "Content-Length: 4\r\n" + line + "\r\n\r\n",
        status + fields + "Transfer-Encoding: chunked\r\n" + line + "\r\n\r\n",
        status + fields + line + "\r\n\r\n"};
}

} // namespace

// A line that begins with a blank was joined to the field before it: passed on
// with that field, or missing where it says how long the body is.
TEST_CASE_METHOD(
    malformed_head_fixture,
    "an answer with a blank or a control byte in a field name is refused")
{
    using namespace std::string_literals;
    const std::string path = GENERATE("/safe/", "/once/", "/stream/");
    const std::string line = GENERATE(
        " X-Odd: 1"s,
        "\tX-Odd: 1"s,
        "X-Odd : 1"s,
        "X Odd: 1"s,
        "X\tOdd: 1"s,
        "X Odd:"s,
        " X-Odd:"s,
        "X\0Odd: 1"s,
        "\1X-Odd: 1"s,
        "X-Odd\x1f: 1"s,
        "X\x7fOdd: 1"s,
        "X\rOdd: 1"s,
        "X\nOdd: 1"s,
        "X-Odd\n: 1"s,
        ": 1"s,
        "X-Odd"s,
        " Content-Length: 2"s,
        "Content-Length : 2"s,
        " Transfer-Encoding: chunked"s,
        "Transfer Encoding: chunked"s,
        " Content-Encoding: gzip"s);
    const std::size_t place = GENERATE(as<std::size_t>{}, 0, 1, 2, 3, 4);
    const std::string head = heads_with(line)[place];
    const bool is_chunked = place == 3;
    const std::string before = GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n");
    CAPTURE(path, head, before);
    this->check_refused(
        path,
        before + head + (is_chunked ? "4\r\nbody\r\n0\r\n\r\n" : "body"),
        true);
}

TEST_CASE_METHOD(
    malformed_head_fixture, "an answer with unusual field names is delivered")
{
    const std::string path = GENERATE("/once/", "/stream/");
    const std::string name = GENERATE(
        "x", "!#$%&'*+-.^_`|~09", "Content-length-", "X_Odd", "1", "HTTP");
    const std::string value =
        GENERATE("", "a  b", "a\tb", "\xe4\xff", ": x", "\"a, b\"");
    // A fold in a body is none.
    const std::string body = "a\r\n b\r\n\tc: d\r\n\r\n";
    const auto script = [&](numbered, const http_request& request)
    {
        scripted_answer answer;
        answer.bytes = replace_id(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + name + ":" +
                value + "\r\n" + stamped_fields + sized(body),
            request);
        return answer;
    };
    this->add(path, "home", script);
    const auto answers = this->ask({get(path), get(path)});
    REQUIRE(answers.size() == 2);
    for (const auto& answer : answers)
    {
        CHECK(answer.status == 200);
        CHECK(answer.body == body);
        CHECK(answer.header[name] == value);
    }
}
