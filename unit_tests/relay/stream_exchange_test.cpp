#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

using numbered = std::size_t;

std::string event_text(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
    {
        text += fmt::format("id: {}\ndata: x\n\n", id);
    }
    return text;
}

/// Events with neither length nor chunks; the connection ends after them.
scripted_answer unframed_events(int first, int last)
{
    scripted_answer answer = events(first, last, true);
    answer.bytes = "HTTP/1.1 200 OK\r\nX-Fireflysail-Attempt-Id: ID\r\n"
                   "X-Fireflysail-Server-Stamp: stamp\r\n"
                   "Content-Type: text/event-stream\r\n\r\n" +
                   event_text(first, last);
    answer.closes = true;
    return answer;
}

/// Breaks off after the third event, and goes on where it is asked to.
scripted_answer break_once(numbered number, const http_request& request)
{
    if (number == 0 && request.count("Last-Event-Id") == 0)
    {
        auto answer = events(1, 3, false);
        answer.bytes += "12\r\nid: 4\nda";
        return answer;
    }
    const int last = std::stoi(std::string{request["Last-Event-Id"]});
    return events(last + 1, 6, true);
}

} // namespace

TEST_CASE_METHOD(relay_fixture, "a stream passes on every event in order")
{
    auto& engine = this->add_engine(
        "e1",
        [](numbered, const http_request&)
        {
            return events(1, 6, true);
        });
    const auto answers = this->ask({get("/stream/"), get("/stream/")});
    REQUIRE(answers.size() == 2);
    CHECK(answers[1].whole);
    CHECK(answers[1].body == event_text(1, 6));
    REQUIRE(engine.received.size() == 2);
    CHECK(
        engine.received[0]["X-Fireflysail-Hop-Count"] ==
        fmt::format("127.0.0.1:{}=0-8", engine.address().port));
}

TEST_CASE_METHOD(
    relay_fixture, "a stream that broke goes on elsewhere within one answer")
{
    this->add_engine("e1", break_once);
    this->add_engine("e2", break_once);
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].whole);
    CHECK(answers[0].body == event_text(1, 6));
}

TEST_CASE_METHOD(
    relay_fixture, "a stream without length or chunks ends with its connection")
{
    this->add_engine(
        "e1",
        [](numbered, const http_request&)
        {
            return unframed_events(1, 6);
        });
    const auto answers = this->ask({get("/stream/"), get("/stream/")});
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].whole);
    CHECK(answers[0].body == event_text(1, 6));
    CHECK(answers[1].body == event_text(1, 6));
}

TEST_CASE_METHOD(
    relay_fixture,
    "a stream without length or chunks that ends inside an event goes on "
    "elsewhere")
{
    const auto break_inside = [](numbered, const http_request& request)
    {
        if (request.count("Last-Event-Id") == 0)
        {
            scripted_answer answer = unframed_events(1, 3);
            answer.bytes += "id: 4\nda";
            return answer;
        }
        return unframed_events(4, 6);
    };
    this->add_engine("e1", break_inside);
    this->add_engine("e2", break_inside);
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].whole);
    CHECK(answers[0].body == event_text(1, 6));
}

TEST_CASE_METHOD(
    relay_fixture,
    "a stream without length or chunks that may not be resumed ends broken")
{
    this->config->routes["shop.example"][2].resumable = false;
    this->add_engine(
        "e1",
        [](numbered, const http_request&)
        {
            scripted_answer answer = unframed_events(1, 3);
            answer.bytes += "id: 4\nda";
            return answer;
        });
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK_FALSE(answers[0].whole);
    CHECK(answers[0].body == event_text(1, 3));
}

TEST_CASE_METHOD(relay_fixture, "a caller resumes after the event that it has")
{
    auto& engine = this->add_engine("e1", break_once);
    const auto answers = this->ask({get("/stream/", "Last-Event-Id: 4\r\n")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].body == event_text(5, 6));
    CHECK(engine.received[0]["Last-Event-Id"] == "4");
}

TEST_CASE_METHOD(
    relay_fixture, "a stream that may not be resumed ends broken, not whole")
{
    this->config->routes["shop.example"][2].resumable = false;
    this->add_engine("e1", break_once);
    this->add_engine("e2", break_once);
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK_FALSE(answers[0].whole);
    CHECK(answers[0].body == event_text(1, 3));
}

TEST_CASE_METHOD(relay_fixture, "a refused stream runs at the next engine")
{
    const auto refuse_first = [](numbered number, const http_request&)
    {
        return number == 0 ? refusal() : events(1, 2, true);
    };
    this->add_engine("e1", refuse_first);
    this->add_engine(
        "e2",
        [](numbered, const http_request&)
        {
            return events(1, 2, true);
        });
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].body == event_text(1, 2));
}

TEST_CASE_METHOD(
    relay_fixture,
    "a stream that has begun is not cut while engines have no room")
{
    // The engine that ran it is lost; the others are full for a moment, and the
    // retry budget is spent meanwhile.
    this->add_engine(
        "e1",
        [](numbered number, const http_request& request)
        {
            return request.count("Last-Event-Id") == 0 && number == 0
                       ? events(1, 3, false)
                       : refusal();
        });
    std::size_t refusals = 0;
    const auto full = [&refusals](numbered, const http_request& request)
    {
        if (request.count("Last-Event-Id") == 0)
        {
            return events(1, 3, false);
        }
        return ++refusals <= 3 ? refusal() : events(4, 6, true);
    };
    this->add_engine("e2", full);
    this->add_engine("e3", full);
    // Four at once, of which three may be spent at one moment, and one a
    // second.
    this->node.bounds.retry_slack = 400;
    this->node.bounds.retry_window = 1s;
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].whole);
    CHECK(answers[0].body == event_text(1, 6));
}

TEST_CASE_METHOD(
    relay_fixture, "a stream whose first event is late moves to another engine")
{
    // The engine that has it is congested: it answers, but not in time.
    std::size_t sent = 0;
    const auto hang_first = [&sent](numbered, const http_request&)
    {
        scripted_answer answer = events(1, 6, true);
        if (++sent == 1)
        {
            answer.bytes.clear();
            answer.pieces = {"HTTP/1.1 200"};
            answer.pause = 10s;
        }
        return answer;
    };
    const auto& one = this->add_engine("e1", hang_first);
    const auto& other = this->add_engine("e2", hang_first);
    for (route& each : this->config->routes["shop.example"])
    {
        each.latency_objective = 200ms;
    }
    this->node.bounds.stage_stall = 5s;
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].whole);
    CHECK(answers[0].body == event_text(1, 6));
    CHECK(one.received.size() == 1);
    CHECK(other.received.size() == 1);
}

TEST_CASE_METHOD(relay_fixture, "without an objective no first event is late")
{
    std::size_t sent = 0;
    const auto slow = [&sent](numbered, const http_request&)
    {
        ++sent;
        scripted_answer answer = events(1, 3, true);
        const auto body = answer.bytes.find("\r\n\r\n") + 4;
        answer.pieces = {answer.bytes.substr(body)};
        answer.bytes.resize(body);
        answer.pause = 100ms;
        return answer;
    };
    this->add_engine("e1", slow);
    this->add_engine("e2", slow);
    for (route& each : this->config->routes["shop.example"])
    {
        each.latency_objective = 0ms;
    }
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].whole);
    CHECK(sent == 1);
}

TEST_CASE_METHOD(
    relay_fixture, "one attempt runs on no more engines than its route allows")
{
    const auto break_always = [](numbered, const http_request& request)
    {
        const int last = request.count("Last-Event-Id") == 0
                             ? 0
                             : std::stoi(std::string{request["Last-Event-Id"]});
        return last < 12 ? events(last + 1, last + 1, false)
                         : events(last + 1, last + 1, true);
    };
    std::vector<scripted_server*> engines;
    for (const char* id : {"e1", "e2", "e3", "e4"})
    {
        engines.push_back(&this->add_engine(id, break_always));
    }
    this->ask({get("/stream/")});
    const auto used = std::ranges::count_if(
        engines,
        [](const scripted_server* engine)
        {
            return !engine->received.empty();
        });
    CHECK(used <= 2);
}

TEST_CASE_METHOD(
    relay_fixture, "without any pipeline a stream is refused as not run")
{
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 503);
}

TEST_CASE_METHOD(relay_fixture, "a failure of an engine is passed on unchanged")
{
    this->add_engine(
        "e1",
        [](numbered, const http_request&)
        {
            return whole_answer(500, "error");
        });
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 500);
    CHECK(answers[0].body == "error");
}
