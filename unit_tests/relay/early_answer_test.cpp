#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

using numbered = std::size_t;

/// More than the buffers of a connection hold.
constexpr std::size_t upload_bytes = std::size_t{12} * 1024 * 1024;

const std::string two_events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";

std::string upload(const std::string& path)
{
    const std::string fields =
        fmt::format("Content-Length: {}\r\n", upload_bytes);
    std::string request = relay_fixture::get(path, fields);
    request.replace(0, 3, "POST");
    return request + std::string(upload_bytes, 'u');
}

enum class framing
{
    none,
    length,
    chunks,
};

/// The head of an answer whose body is longer than `sent`, and these bytes.
std::string begun_answer(framing frame, const std::string& sent)
{
    const std::string head = "HTTP/1.1 200 OK\r\n"
                             "X-Fireflysail-Attempt-Id: 9c41\r\n"
                             "X-Fireflysail-Server-Stamp: stamp\r\n"
                             "Content-Type: text/event-stream\r\n";
    switch (frame)
    {
    case framing::length:
        return fmt::format(
            "{}Content-Length: {}\r\n\r\n{}", head, sent.size() + 1, sent);
    case framing::chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n" +
               (sent.empty()
                    ? std::string{}
                    : fmt::format("{:x}\r\n{}\r\n", sent.size(), sent));
    case framing::none:
        break;
    }
    return head + "\r\n" + sent;
}

scripted_answer reset_after(std::string bytes, duration pause)
{
    scripted_answer answer;
    answer.bytes = std::move(bytes);
    answer.pause = pause;
    answer.closes = true;
    answer.resets = true;
    return answer;
}

struct early_answer_fixture : relay_fixture
{
    early_answer_fixture()
    {
        this->config->limits.body = byte_count{2 * upload_bytes};
        this->stream_route().timeout = 2s;
    }

    route& stream_route()
    {
        return this->config->routes["shop.example"][2];
    }

    /// A server that answers before it has read the body of a request.
    scripted_server& add_early(
        const std::string& path,
        const std::string& id,
        const scripted_server::script& script)
    {
        scripted_server& added = this->add(path, id, script);
        added.answers_early = true;
        return added;
    }
};

} // namespace

// The system reports a reset once: to the write of the upload. The read after
// it sees an ordinary end of the connection.
TEST_CASE_METHOD(
    early_answer_fixture,
    "an answer that is reset while the upload is written does not look whole")
{
    const std::string path = GENERATE("/safe/", "/once/", "/stream/");
    const auto frame =
        GENERATE(framing::none, framing::length, framing::chunks);
    const std::string sent =
        GENERATE(std::string{}, two_events, two_events + "id: 3\nda");
    // With a pause, the read of what follows waits when the reset comes.
    const duration pause = GENERATE(duration{0ms}, duration{10ms});
    CAPTURE(path, static_cast<int>(frame), sent, pause.count());
    this->stream_route().resumable = false;
    auto& home = this->add_early(
        path,
        "home",
        [&](numbered, const http_request&)
        {
            return reset_after(begun_answer(frame, sent), pause);
        });
    const auto answers = this->ask({upload(path)});
    REQUIRE(answers.size() == 1);
    const auto& answer = answers.front();
    CHECK(home.received.size() == 1);
    if (path == "/stream/" && !sent.empty())
    {
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.whole);
        CHECK(two_events.starts_with(answer.body));
        return;
    }
    CHECK(answer.status == 502);
    CHECK(answer.header.count("X-Fireflysail-Server-Stamp") == 0);
}

TEST_CASE_METHOD(
    early_answer_fixture,
    "an answer that is reset while the upload is written is replaced by "
    "another")
{
    const std::string path = GENERATE("/safe/", "/stream/");
    const std::string rest = "id: 3\ndata: x\n\n";
    this->add_early(
        path,
        "home",
        [&](numbered, const http_request&)
        {
            return reset_after(begun_answer(framing::none, two_events), 10ms);
        });
    const auto answer_all = [&](numbered, const http_request& request)
    {
        scripted_answer answer = whole_answer(
            200,
            request.count("Last-Event-Id") == 0 ? two_events + rest : rest);
        return answer;
    };
    this->add(path, "other", answer_all);
    const auto answers = this->ask({upload(path)});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].whole);
    CHECK(answers[0].status == 200);
    CHECK(answers[0].body == two_events + rest);
}

TEST_CASE_METHOD(
    early_answer_fixture,
    "an early answer whose connection ends in order is whole")
{
    const std::string path = GENERATE("/safe/", "/once/", "/stream/");
    const auto script = [](numbered, const http_request&)
    {
        scripted_answer answer;
        answer.bytes = begun_answer(framing::none, two_events);
        answer.half_closes = true;
        return answer;
    };
    auto& home = this->add_early(path, "home", script);
    const auto answers = this->ask({upload(path), upload(path)});
    REQUIRE(answers.size() == 2);
    for (const auto& answer : answers)
    {
        CHECK(answer.whole);
        CHECK(answer.status == 200);
        CHECK(answer.body == two_events);
        CHECK(answer.header.count("X-Fireflysail-Server-Stamp") == 1);
    }
    CHECK(home.accepted == 2);
}

TEST_CASE_METHOD(
    early_answer_fixture,
    "an early answer whose server reads the upload later is whole")
{
    const std::string path = GENERATE("/safe/", "/once/");
    const int status = GENERATE(200, 413);
    auto& home = this->add_early(
        path,
        "home",
        [&](numbered, const http_request&)
        {
            return whole_answer(status, "early");
        });
    const auto answers = this->ask({upload(path), upload(path)});
    REQUIRE(answers.size() == 2);
    for (const auto& answer : answers)
    {
        CHECK(answer.whole);
        CHECK(answer.status == static_cast<unsigned>(status));
        CHECK(answer.body == "early");
    }
    CHECK(home.received.size() == 2);
}
